"""A site's load as a trace made from a seed: the same for every policy.

Questions, documents and pings arrive as Poisson processes, bursts of questions on top. A
session's turns are scripted; each begins a think time after the answer before it, as a person
would, so a slow answer delays the next turn and does not pile on it.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from rainsail.engine.prefix import CHARACTERS_PER_TOKEN
from rainsail.experiment.sites import OnlineLoad, RequestShape, SitePreset
from rainsail.resources.specs import RequestClass
from rainsail.state.commands import ItemBody

FIRST_ARRIVAL_S = 2.0
"""Nothing arrives before the gateways have had load reports of every engine."""
TENANTS = ("tenant-a", "tenant-b", "tenant-c", "tenant-d")


@dataclass(frozen=True, slots=True)
class OnlineArrival:
    """One request of no session. ``kind`` is question, burst, document or ping."""

    at_s: float
    kind: str
    zone: int
    tenant: str
    service: str
    class_: RequestClass
    prompt: str
    max_tokens: int


@dataclass(frozen=True, slots=True)
class TurnScript:
    """One turn: ``think_s`` after the answer before (for the first: after the start)."""

    think_s: float
    prompt: str
    max_tokens: int


@dataclass(frozen=True, slots=True)
class SessionScript:
    """One session."""

    start_s: float
    name: str
    zone: int
    tenant: str
    service: str
    turns: tuple[TurnScript, ...]


@dataclass(frozen=True, slots=True)
class JobArrival:
    """One batch job of a heap."""

    at_s: float
    zone: int
    tenant: str
    job_key: str
    service: str
    items: tuple[ItemBody, ...]


@dataclass(frozen=True, slots=True)
class Workload:
    """All that arrives at a site."""

    arrivals: tuple[OnlineArrival, ...]
    sessions: tuple[SessionScript, ...]
    jobs: tuple[JobArrival, ...]


def make_workload(site: SitePreset, seed: int, duration_s: float) -> Workload:
    """Return the load of ``duration_s`` seconds."""
    maker = _WorkloadMaker(site, seed, duration_s)
    bursts = maker.burst_starts()
    arrivals = maker.questions() + maker.documents() + maker.pings() + maker.bursts(bursts)
    arrivals.sort(key=lambda arrival: arrival.at_s)
    return Workload(tuple(arrivals), tuple(maker.sessions()), tuple(maker.jobs()))


def prompt_text(template: str, template_tokens: int, own: str, own_tokens: int) -> str:
    """Return a prompt of about so many tokens; the own part differs from its first word on."""
    shared = _fill(template, template_tokens)
    return shared + _fill(own, own_tokens)


def _fill(word: str, tokens: int) -> str:
    length = tokens * CHARACTERS_PER_TOKEN
    if not length:
        return ""
    text = f"{word} "
    return (text * math.ceil(length / len(text)))[:length]


class _WorkloadMaker:
    """Draws each part of the load from a generator of its own."""

    def __init__(self, site: SitePreset, seed: int, duration_s: float) -> None:
        self._site = site
        self._online: OnlineLoad = site.online
        self._seed = seed
        self._duration_s = duration_s
        self._count = 0

    def _random(self, part: str) -> Random:
        return Random(f"{self._site.name}/{self._seed}/{part}")

    def _times(self, random: Random, rate: float) -> Iterator[float]:
        at_s = FIRST_ARRIVAL_S + random.expovariate(rate)
        while at_s < self._duration_s:
            yield at_s
            at_s += random.expovariate(rate)

    def _zone(self, random: Random) -> int:
        return random.randrange(self._site.zones)

    def _prompt(self, kind: str, shape: RequestShape) -> str:
        self._count += 1
        own = f"{self._count:07d} {kind}"
        return prompt_text(f"{kind} template", shape.template_tokens, own, shape.own_tokens)

    def _answer_tokens(self, random: Random, shape: RequestShape) -> int:
        return max(1, round(shape.answer_tokens * random.uniform(0.75, 1.25)))

    def _arrival(
        self, random: Random, at_s: float, kind: str, shape: RequestShape, zone: int | None = None
    ) -> OnlineArrival:
        ping = kind == "ping"
        template = "question" if kind == "burst" else kind
        return OnlineArrival(
            at_s=at_s,
            kind=kind,
            zone=self._zone(random) if zone is None else zone,
            tenant=random.choice(TENANTS),
            service=self._site.ping_service if ping else self._site.model_service,
            class_=RequestClass.NON_REPEATABLE if ping else RequestClass.ONLINE,
            prompt=self._prompt(template, shape),
            max_tokens=self._answer_tokens(random, shape),
        )

    def _stream(self, kind: str, rate: float, shape: RequestShape) -> list[OnlineArrival]:
        random = self._random(kind)
        times = list(self._times(random, rate))
        return [self._arrival(random, at_s, kind, shape) for at_s in times]

    def questions(self) -> list[OnlineArrival]:
        """Return the questions outside bursts."""
        return self._stream("question", self._online.question_rate, self._online.question)

    def documents(self) -> list[OnlineArrival]:
        """Return the long documents."""
        return self._stream("document", self._online.document_rate, self._online.document)

    def pings(self) -> list[OnlineArrival]:
        """Return the pings or confirmations."""
        return self._stream("ping", self._online.ping_rate, self._online.ping)

    def burst_starts(self) -> list[float]:
        """Return when bursts begin."""
        return list(self._times(self._random("burst starts"), 1.0 / self._online.burst_gap_s))

    def bursts(self, starts: list[float]) -> list[OnlineArrival]:
        """Return the questions of the bursts."""
        random = self._random("bursts")
        found = []
        for start_s in starts:
            size = random.randint(*self._online.burst_size)
            alone = random.random() < self._online.burst_one_zone
            zone = self._zone(random) if alone else None
            for _ in range(size):
                at_s = start_s + random.uniform(0.0, self._online.burst_spread_s)
                found.append(self._arrival(random, at_s, "burst", self._online.question, zone))
        return [arrival for arrival in found if arrival.at_s < self._duration_s]

    def sessions(self) -> list[SessionScript]:
        """Return the sessions with their turns."""
        random = self._random("sessions")
        starts = list(self._times(random, self._online.session_rate))
        return [self._session(random, number, at_s) for number, at_s in enumerate(starts)]

    def _session(self, random: Random, number: int, start_s: float) -> SessionScript:
        shape = self._online.turn
        turns = []
        for index in range(random.randint(*self._online.session_turns)):
            think_s = random.expovariate(1.0 / self._online.think_s) if index else 0.0
            prompt = self._prompt("turn", shape)
            turns.append(TurnScript(think_s, prompt, self._answer_tokens(random, shape)))
        zone = self._zone(random)
        tenant = random.choice(TENANTS)
        service = self._site.model_service
        return SessionScript(start_s, f"session-{number}", zone, tenant, service, tuple(turns))

    def jobs(self) -> list[JobArrival]:
        """Return the batch jobs, heap by heap."""
        random = self._random("heaps")
        load = self._site.batch
        found = []
        at_s = FIRST_ARRIVAL_S
        while at_s < self._duration_s:
            for number in range(load.jobs_per_heap):
                found.append(self._job(random, at_s + random.uniform(0.0, 0.3), number))
            at_s += load.heap_period_s * random.uniform(0.9, 1.1)
        return found

    def _job(self, random: Random, at_s: float, number: int) -> JobArrival:
        load = self._site.batch
        count = round(load.items_per_job * random.uniform(0.75, 1.25))
        items = []
        for index in range(count):
            prompt = self._prompt(f"item {number}", load.item)
            items.append(ItemBody(f"item-{index}", prompt, self._answer_tokens(random, load.item)))
        return JobArrival(
            at_s=at_s,
            zone=self._zone(random),
            tenant=random.choice(TENANTS),
            job_key=f"job-{at_s:.6f}",
            service=self._site.model_service,
            items=tuple(items),
        )
