"""Interface to a platform's headers: what the relay reads from them and writes into them.

An adapter implements it for one platform's header names and makes no decisions.
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
    """The contents of a request's headers.

    ``deadline_s`` is how long the client waits from when it sent the request (None: not stated);
    ``after_event`` is the last event that a client resuming a stream has received.
    """

    request: str
    host: str
    path: str
    deadline_s: float | None
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    answer_tokens: int
    after_event: int | None
    resumes: str = ""
    """The id of the attempt that brought the first event of a resumed stream, if it is stated."""
    model: str = ""
    """The name of the model that the request is for, if it is stated."""
    key: KeyDigest | None = None
    """The digest of the API key; None if there is none, more than one, or a malformed one."""


@dataclass(frozen=True, slots=True)
class ItemFacts:
    """The contents of an item's headers, as in ``RequestFacts``."""

    prompt: tuple[PromptPart, ...] = ()
    model: str = ""


@dataclass(frozen=True, slots=True)
class RunnerTarget:
    """The runner that a request is meant for."""

    runner: str
    address: str


@dataclass(frozen=True, slots=True)
class AnswerVerdict:
    """The contents of an answer's head.

    ``belongs``: it answers this request. ``not_run``: the runner has not run it and will not.
    ``promises_not_run``: its status means the same to a client, whether true or not.
    ``other_runner``: the address now belongs to another runner.
    ``load`` is the load that the runner reports (None: not reported).
    """

    belongs: bool
    not_run: bool
    promises_not_run: bool
    other_runner: bool
    load: ServerLoad | None


@dataclass(frozen=True, slots=True)
class ItemRequest:
    """An item to be sent; its run resumes after ``after_event`` if that is given."""

    host: str
    item: RelayedItem
    after_event: int | None
    tenant: str = ""


class RelayProtocol(Protocol):
    """Reads and writes a platform's headers."""

    def describe(self, request: HttpRequest) -> RequestFacts:
        """Parse the headers of a client's request."""
        ...

    def relayed(
        self,
        request: HttpRequest,
        target: RunnerTarget,
        deadline_left_s: float | None,
        after_event: int | None,
        identity: Identity,
    ) -> OutgoingRequest:
        """Return the request as sent to a runner: with its tenant, without its API key."""
        ...

    def describe_item(self, item: RelayedItem) -> ItemFacts:
        """Parse the headers of an item."""
        ...

    def item_request(self, item: ItemRequest, target: RunnerTarget) -> OutgoingRequest:
        """Return an item's request as sent to a runner."""
        ...

    def judge(self, head: AnswerHead, request: str) -> AnswerVerdict:
        """Interpret the head of a runner's answer to a request."""
        ...

    def answer_headers(self, head: AnswerHead) -> HeaderFields:
        """Return the fields of a runner's answer that are forwarded to the client."""
        ...

    def refusal_headers(self, retry_after_s: float | None) -> HeaderFields:
        """Return the fields of an answer that the gateway gives itself."""
        ...
