"""The two sites of today: their services, zones and what their callers do.

Sizes of zones and runners are the users' own. The rates of the workload are chosen, not
recorded: they put online work at about a third of the fleet on average, with bursts that take
most of it for seconds, as both users describe.
"""

from pydantic import BaseModel, ConfigDict, Field

from rainsail.batch.settings import LATENCY_BATCH_WEIGHT, THROUGHPUT_BATCH_WEIGHT
from rainsail.emulator.settings import EngineSettings

CHUNK_TOKENS = 32
"""Tokens per chunk in the experiment; the first token goes alone, so its time is exact."""


class RequestShape(BaseModel):
    """The size of one kind of online request, in tokens; the answer varies by a quarter."""

    model_config = ConfigDict(frozen=True)

    template_tokens: int = Field(description="Tokens of the prompt that all share.")
    own_tokens: int = Field(description="Tokens of the prompt that are its own.")
    answer_tokens: int = Field(description="Mean bound on the answer.")


class OnlineLoad(BaseModel):
    """What online callers of a site do."""

    model_config = ConfigDict(frozen=True)

    question: RequestShape = Field(description="Short questions, also the ones in bursts.")
    question_rate: float = Field(description="Questions per second outside bursts.")
    document: RequestShape = Field(description="Long documents: histories, contract clauses.")
    document_rate: float = Field(description="Documents per second.")
    turn: RequestShape = Field(description="One turn of a session.")
    session_rate: float = Field(description="Sessions begun per second.")
    session_turns: tuple[int, int] = Field(description="Least and most turns of a session.")
    think_s: float = Field(description="Mean seconds between an answer and the next turn.")
    ping: RequestShape = Field(description="Pings and confirmations; may not be repeated.")
    ping_rate: float = Field(description="Pings per second.")
    burst_gap_s: float = Field(description="Mean seconds between bursts.")
    burst_size: tuple[int, int] = Field(description="Least and most questions of a burst.")
    burst_spread_s: float = Field(description="Seconds over which a burst arrives.")
    burst_one_zone: float = Field(description="Share of bursts that come from one zone alone.")


class BatchLoad(BaseModel):
    """The heaps of batch jobs of a site."""

    model_config = ConfigDict(frozen=True)

    heap_period_s: float = Field(description="Mean seconds between heaps.")
    jobs_per_heap: int = Field(description="Jobs in a heap.")
    items_per_job: int = Field(description="Mean items of a job; varies by a quarter.")
    item: RequestShape = Field(description="Size of an item.")


class SitePreset(BaseModel):
    """One site: its fleet and its load."""

    model_config = ConfigDict(frozen=True)

    name: str = Field(description="Name on the command line.")
    zones: int = Field(default=3, description="Zones; each has its own gateways.")
    gateways_per_zone: int = Field(default=1, description="Gateways in each zone.")
    zone_delay_s: float = Field(description="One-way seconds between two zones.")
    client_delay_s: float = Field(default=0.003, description="One-way seconds to a client.")
    model_service: str = Field(description="The language model service: batch runs here.")
    model_runners: int = Field(description="Runners of the language model.")
    ping_service: str = Field(description="The service of pings or confirmations.")
    ping_runners: int = Field(description="Runners of that service.")
    model_engine: EngineSettings = Field(description="Rates of the language model's engines.")
    ping_engine: EngineSettings = Field(description="Rates of the other service's engines.")
    online: OnlineLoad = Field(description="What online callers do.")
    batch: BatchLoad = Field(description="The heaps of batch jobs.")
    batch_weight: float = Field(description="Throughput (1) against harm (0).")


GUAYAQUIL = SitePreset(
    name="guayaquil",
    zone_delay_s=0.001,
    model_service="reports",
    model_runners=6,
    ping_service="positions",
    ping_runners=3,
    model_engine=EngineSettings.language_model(tokens_per_chunk=CHUNK_TOKENS),
    ping_engine=EngineSettings.position(tokens_per_chunk=CHUNK_TOKENS),
    online=OnlineLoad(
        question=RequestShape(template_tokens=128, own_tokens=176, answer_tokens=96),
        question_rate=6.0,
        document=RequestShape(template_tokens=64, own_tokens=1136, answer_tokens=400),
        document_rate=0.4,
        turn=RequestShape(template_tokens=0, own_tokens=64, answer_tokens=120),
        session_rate=0.4,
        session_turns=(3, 8),
        think_s=6.0,
        ping=RequestShape(template_tokens=0, own_tokens=16, answer_tokens=8),
        ping_rate=5.0,
        burst_gap_s=12.0,
        burst_size=(30, 80),
        burst_spread_s=1.0,
        burst_one_zone=0.5,
    ),
    batch=BatchLoad(
        heap_period_s=10.0,
        jobs_per_heap=3,
        items_per_job=90,
        item=RequestShape(template_tokens=256, own_tokens=192, answer_tokens=320),
    ),
    batch_weight=THROUGHPUT_BATCH_WEIGHT,
)

TAOYUAN = SitePreset(
    name="taoyuan",
    zone_delay_s=0.0005,
    model_service="assistant",
    model_runners=9,
    ping_service="confirmations",
    ping_runners=3,
    model_engine=EngineSettings.language_model(tokens_per_chunk=CHUNK_TOKENS),
    ping_engine=EngineSettings.position(tokens_per_chunk=CHUNK_TOKENS),
    online=OnlineLoad(
        question=RequestShape(template_tokens=192, own_tokens=96, answer_tokens=128),
        question_rate=4.0,
        document=RequestShape(template_tokens=64, own_tokens=1984, answer_tokens=500),
        document_rate=0.3,
        turn=RequestShape(template_tokens=0, own_tokens=80, answer_tokens=110),
        session_rate=1.2,
        session_turns=(3, 9),
        think_s=5.0,
        ping=RequestShape(template_tokens=0, own_tokens=16, answer_tokens=8),
        ping_rate=5.0,
        burst_gap_s=15.0,
        burst_size=(40, 110),
        burst_spread_s=1.0,
        burst_one_zone=0.5,
    ),
    batch=BatchLoad(
        heap_period_s=10.0,
        jobs_per_heap=3,
        items_per_job=120,
        item=RequestShape(template_tokens=256, own_tokens=448, answer_tokens=360),
    ),
    batch_weight=LATENCY_BATCH_WEIGHT,
)

SITES: dict[str, SitePreset] = {site.name: site for site in (GUAYAQUIL, TAOYUAN)}
"""The presets by name."""
