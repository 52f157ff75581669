"""The port to a platform's headers: what relaying reads from them and writes into them.

An adapter implements it for one platform's names and decides nothing.
"""

from dataclasses import dataclass
from typing import Protocol

from rainsail.http.client import AnswerHead, OutgoingRequest
from rainsail.http.exchange import HttpRequest
from rainsail.http.headers import HeaderFields
from rainsail.routing.facts import PromptPart, ServerLoad
from rainsail.state.job_commands import RelayedItem
from rainsail.tenancy.tenants import Identity, KeyDigest


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What a request says of itself.

    ``deadline_s`` is how long the client waits from when it sent the request (None: not said);
    ``after_event`` is the last event that a client which takes a stream up again has seen.
    """

    request: str
    host: str
    path: str
    deadline_s: float | None
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    answer_tokens: int
    after_event: int | None
    key: KeyDigest | None = None
    """The digest of the API key; None when there is none, several, or one in another form."""


@dataclass(frozen=True, slots=True)
class RunnerTarget:
    """The runner that a request is meant for."""

    runner: str
    address: str


@dataclass(frozen=True, slots=True)
class AnswerVerdict:
    """What an answer's head says.

    ``belongs``: it answers this request. ``not_run``: the runner has not run it and never will.
    ``promises_not_run``: its status would promise that to a client, true or not. ``other_runner``:
    the address belongs to another runner now.
    ``load`` is what the runner reports of its load (None: nothing).
    """

    belongs: bool
    not_run: bool
    promises_not_run: bool
    other_runner: bool
    load: ServerLoad | None


@dataclass(frozen=True, slots=True)
class ItemRequest:
    """An item that is to be sent, going on behind ``after_event`` if that is given."""

    host: str
    item: RelayedItem
    after_event: int | None
    tenant: str = ""


class RelayProtocol(Protocol):
    """Reads and writes a platform's headers."""

    def describe(self, request: HttpRequest) -> RequestFacts:
        """Read what a client's request says of itself."""
        ...

    def relayed(
        self,
        request: HttpRequest,
        target: RunnerTarget,
        deadline_left_s: float | None,
        after_event: int | None,
        identity: Identity,
    ) -> OutgoingRequest:
        """Return the request as it goes to a runner: with its tenant, without its key."""
        ...

    def item_request(self, item: ItemRequest, target: RunnerTarget) -> OutgoingRequest:
        """Return an item's request as it goes to a runner."""
        ...

    def judge(self, head: AnswerHead, request: str) -> AnswerVerdict:
        """Judge the head of a runner's answer to a request."""
        ...

    def answer_headers(self, head: AnswerHead) -> HeaderFields:
        """Return the fields of a runner's answer that travel on to the client."""
        ...

    def refusal_headers(self, retry_after_s: float | None) -> HeaderFields:
        """Return the fields of an answer of our own."""
        ...
