"""What the users of the demonstration ask for: drawn from a seed, apart from any I/O."""

from dataclasses import dataclass, field
from random import Random
from typing import Any

from rainsail.demo.journal import NotedItem
from rainsail.demo.site import BATCH_TENANT, POSITIONS, REPORTS, TENANTS
from rainsail.resources.specs import RequestClass

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"

QUESTION_GAP_S = 0.25
DOCUMENT_GAP_S = 2.5
PING_GAP_S = 0.3
SESSION_GAP_S = 2.0
BURST_PERIOD_S = 9.0
BURST_QUESTIONS = 15
SESSION_TURNS = 3
SESSION_THINK_S = 1.5
HEAP_PERIOD_S = 10.0
FIRST_HEAP_S = 0.5
JOBS_PER_HEAP = 3
ITEMS_PER_JOB = 60

_QUESTION_TOKENS = (16, 48)
_DOCUMENT_TOKENS = (80, 160)
_TURN_TOKENS = (24, 64)
_ITEM_TOKENS = (40, 120)
_PING_TOKENS = 8
_HISTORY_STOPS = 40
_INSTRUCTIONS = (
    "You answer for a container tracking office in Guayaquil. "
    "Be brief, name the container and the port, and give times in UTC."
)


@dataclass(frozen=True, slots=True)
class Message:
    """One message of a chat."""

    role: str
    content: str


@dataclass(frozen=True, slots=True)
class DemoRequest:
    """One online request. ``prompt`` is the text of a completion; a chat has ``messages``."""

    request_id: str
    kind: str
    tenant: str
    service: str
    max_tokens: int
    class_: RequestClass
    streamed: bool
    prompt: str = ""
    messages: tuple[Message, ...] = ()
    session: str = ""

    @property
    def path(self) -> str:
        """The caller API's path that takes the request."""
        return CHAT_PATH if self.messages else COMPLETION_PATH

    def body(self) -> dict[str, Any]:
        """Return the JSON body of the request."""
        fields: dict[str, Any] = {
            "model": self.service,
            "max_tokens": self.max_tokens,
            "stream": self.streamed,
        }
        if self.messages:
            fields["messages"] = [
                {"role": each.role, "content": each.content} for each in self.messages
            ]
        else:
            fields["prompt"] = self.prompt
        return fields

    def engine_prompt(self) -> str:
        """Return the prompt as an engine reads it, without a session's earlier turns."""
        turns = [f"<|{each.role}|>\n{each.content}\n" for each in self.messages]
        return "".join(turns) + "<|assistant|>\n" if turns else self.prompt


@dataclass(frozen=True, slots=True)
class PlannedJob:
    """One batch job: its key and items."""

    job_key: str
    tenant: str
    service: str
    items: tuple[NotedItem, ...]


@dataclass(slots=True)
class TrafficPlan:
    """Draws requests and jobs; ``run`` keeps the ids of different starts apart."""

    run: int
    draw: Random
    _counts: dict[str, int] = field(default_factory=dict)

    def question(self) -> DemoRequest:
        """Draw a short question, streamed as a chat."""
        text = f"Where is container {self._container()}, and is its reefer alarm still on?"
        messages = (Message("system", _INSTRUCTIONS), Message("user", text))
        return self._request("question", _QUESTION_TOKENS, messages=messages)

    def document(self) -> DemoRequest:
        """Draw a long voyage history, streamed as a completion."""
        container = self._container()
        stops = [
            f"Stop {stop}: {container} held {self.draw.randrange(4, 90)} h, seal intact. "
            for stop in range(_HISTORY_STOPS)
        ]
        prompt = f"Write the voyage history of {container}. " + "".join(stops)
        return self._request("document", _DOCUMENT_TOKENS, prompt=prompt)

    def ping(self) -> DemoRequest:
        """Draw a position ping, which may not be repeated."""
        return DemoRequest(
            self._id("ping"),
            "ping",
            self.draw.choice(TENANTS),
            POSITIONS,
            _PING_TOKENS,
            RequestClass.NON_REPEATABLE,
            streamed=False,
            prompt=f"Position of {self._container()} at minute {self.draw.randrange(1440)}.",
        )

    def turn(self, session: str, tenant: str) -> DemoRequest:
        """Draw the next turn of a session, streamed as a chat."""
        text = f"And what happened to container {self._container()} after that?"
        return self._request(
            "turn",
            _TURN_TOKENS,
            messages=(Message("user", text),),
            session=session,
            tenant=tenant,
        )

    def session_names(self, count: int) -> tuple[str, ...]:
        """Return the names of this start's sessions."""
        return tuple(f"demo-{self.run}-session-{number}" for number in range(1, count + 1))

    def heap(self) -> tuple[PlannedJob, ...]:
        """Draw the jobs of one heap: seal reports due before the morning meeting."""
        return tuple(self._job() for _ in range(JOBS_PER_HEAP))

    def _job(self) -> PlannedJob:
        key = self._id("seal-reports")
        items = tuple(
            NotedItem(
                f"{key}-{index}",
                f"Write the seal report of container {self._container()}, gate "
                f"{self.draw.randrange(1, 9)}, seal GYE{self.draw.randrange(10**6):06d}.",
                self.draw.randint(*_ITEM_TOKENS),
            )
            for index in range(ITEMS_PER_JOB)
        )
        return PlannedJob(key, BATCH_TENANT, REPORTS, items)

    def _request(
        self,
        kind: str,
        tokens: tuple[int, int],
        prompt: str = "",
        messages: tuple[Message, ...] = (),
        session: str = "",
        tenant: str = "",
    ) -> DemoRequest:
        return DemoRequest(
            self._id(kind),
            kind,
            tenant or self.draw.choice(TENANTS),
            REPORTS,
            self.draw.randint(*tokens),
            RequestClass.ONLINE,
            True,
            prompt,
            messages,
            session,
        )

    def _id(self, kind: str) -> str:
        number = self._counts.get(kind, 0) + 1
        self._counts[kind] = number
        return f"demo-{self.run}-{kind}-{number}"

    def _container(self) -> str:
        return f"TRKU{self.draw.randrange(10**6):06d}"
