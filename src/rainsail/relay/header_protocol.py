"""Reads and writes the headers of relayed requests, with header names chosen by each platform.

Implements ``relay.protocol``. Makes no decisions: the consequences are up to ``continuation``.
"""

import math
from dataclasses import dataclass

from rainsail.http.client import AnswerHead, OutgoingRequest
from rainsail.http.exchange import HttpRequest
from rainsail.http.headers import (
    HeaderFields,
    end_to_end,
    header_number,
    header_text,
    header_value,
)
from rainsail.relay.item_fields import header_bytes
from rainsail.relay.protocol import (
    AnswerVerdict,
    ItemFacts,
    ItemRequest,
    RequestFacts,
    RunnerTarget,
)
from rainsail.routing.facts import PromptPart, ServerLoad
from rainsail.state.job_commands import RelayedItem
from rainsail.tenancy.tenants import Identity, KeyDigest, digest_of

HOST = b"Host"
AUTHORIZATION = b"Authorization"
CONTENT_LENGTH = b"Content-Length"
RETRY_AFTER = b"Retry-After"
STATUS_BAD_REQUEST = 400
STATUS_MISDIRECTED = 421
STATUS_MIN_FAILURE = 400
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that tell a client that its request was not run."""


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """The names of the headers.

    ``key_scheme`` precedes an API key in ``Authorization``. ``deadline`` holds how long the client
    waits, in units of ``deadline_unit_s``. ``resumes`` names the attempt that began a resumed
    stream. ``runner`` names the runner that a request is meant for.
    ``load`` holds running requests, waiting requests and slots, separated by commas.
    """

    request: bytes = b"Rainsail-Request"
    deadline: bytes = b"Rainsail-Deadline-S"
    deadline_unit_s: float = 1.0
    runner: bytes = b"Rainsail-Runner"
    last_event: bytes = b"Last-Event-ID"
    resumes: bytes = b"Rainsail-Resumes"
    model: bytes = b"Rainsail-Model"
    prompt: bytes = b"Rainsail-Prompt"
    usage: bytes = b"Rainsail-Tokens"
    load: bytes = b"Rainsail-Load"
    not_run: bytes = b"Rainsail-Not-Run"
    tenant: bytes = b"Rainsail-Tenant"
    key_scheme: bytes = b"Bearer"


class HeaderProtocol:
    """Implements ``rainsail.relay.protocol.RelayProtocol`` for one set of names."""

    def __init__(self, names: HeaderNames) -> None:
        self._names = names
        replaced = (names.deadline, names.runner, names.last_event, names.tenant, CONTENT_LENGTH)
        self._replaced = frozenset(name.lower() for name in replaced)
        self._replaced_with_key = self._replaced | {AUTHORIZATION.lower()}
        own = (HOST, names.request)
        self._kept_from_items = self._replaced_with_key | {name.lower() for name in own}
        self._not_forwarded = frozenset(name.lower() for name in (names.load, names.not_run))

    def describe(self, request: HttpRequest) -> RequestFacts:
        """Parse the headers of a client's request."""
        names, fields = self._names, request.headers
        deadline = header_number(fields, names.deadline.lower())
        prompt_tokens, answer_tokens = _usage(header_text(fields, names.usage.lower()))
        after = header_text(fields, names.last_event.lower())
        return RequestFacts(
            header_text(fields, names.request.lower()),
            header_text(fields, HOST.lower()).partition(":")[0],
            request.target.decode("latin-1").partition("?")[0],
            None if deadline is None else deadline * names.deadline_unit_s,
            _prompt(header_text(fields, names.prompt.lower())),
            prompt_tokens,
            answer_tokens,
            int(after) if _is_number(after) else None,
            header_text(fields, names.resumes.lower()),
            header_text(fields, names.model.lower()),
            self._key(fields),
        )

    def _key(self, fields: HeaderFields) -> KeyDigest | None:
        """Return the digest of the request's API key; None unless there is exactly one."""
        name = AUTHORIZATION.lower()
        values = [value for each, value in fields if each.lower() == name]
        if len(values) != 1:
            return None
        scheme, _, key = values[0].strip().partition(b" ")
        key = key.strip()
        if scheme.lower() != self._names.key_scheme.lower() or not key:
            return None
        return digest_of(key)

    def relayed(
        self,
        request: HttpRequest,
        target: RunnerTarget,
        deadline_left_s: float | None,
        after_event: int | None,
        identity: Identity,
    ) -> OutgoingRequest:
        """Return the request as sent to a runner: with its tenant, without its API key."""
        replaced = self._replaced_with_key if identity.keyed else self._replaced
        fields = list(end_to_end(request.headers, replaced))
        if deadline_left_s is not None:
            fields.append((self._names.deadline, self._deadline(deadline_left_s)))
        fields += self._sent_fields(target, after_event, identity.tenant, request.body)
        return OutgoingRequest(request.method, request.target, tuple(fields), request.body)

    def _deadline(self, left_s: float) -> bytes:
        """Format the time left; in whole units if a unit is shorter than a second."""
        left = left_s / self._names.deadline_unit_s
        if self._names.deadline_unit_s < 1:
            return str(max(1, math.floor(left))).encode()
        return f"{left:.3f}".encode()

    def describe_item(self, item: RelayedItem) -> ItemFacts:
        """Parse the headers of an item."""
        fields = tuple(map(header_bytes, item.headers))
        return ItemFacts(
            _prompt(header_text(fields, self._names.prompt.lower())),
            header_text(fields, self._names.model.lower()),
        )

    def item_request(self, item: ItemRequest, target: RunnerTarget) -> OutgoingRequest:
        """Return an item's request as sent to a runner."""
        fields = [(HOST, item.host.encode()), (self._names.request, item.item.item.encode())]
        stated = map(header_bytes, item.item.headers)
        fields += end_to_end(tuple(stated), self._kept_from_items)
        fields += self._sent_fields(target, item.after_event, item.tenant, item.item.body)
        path = item.item.path.encode("latin-1")
        return OutgoingRequest(b"POST", path, tuple(fields), item.item.body)

    def _sent_fields(
        self, target: RunnerTarget, after_event: int | None, tenant: str, body: bytes
    ) -> list[tuple[bytes, bytes]]:
        fields = [(self._names.runner, target.runner.encode())]
        if tenant:
            fields.append((self._names.tenant, tenant.encode("latin-1")))
        if after_event is not None:
            fields.append((self._names.last_event, str(after_event).encode()))
        fields.append((CONTENT_LENGTH, str(len(body)).encode()))
        return fields

    def judge(self, head: AnswerHead, request: str) -> AnswerVerdict:
        """Interpret the head of a runner's answer to a request."""
        answered = header_text(head.headers, self._names.request.lower())
        says_not_run = header_value(head.headers, self._names.not_run.lower()) is not None
        other_runner = head.status == STATUS_MISDIRECTED
        unread = head.status == STATUS_BAD_REQUEST and not answered
        unnamed_failure = not answered and head.status >= STATUS_MIN_FAILURE
        return AnswerVerdict(
            belongs=answered == request or unnamed_failure,
            not_run=says_not_run or other_runner or unread,
            promises_not_run=head.status in PROMISES_NOT_RUN,
            other_runner=other_runner,
            load=_load(header_text(head.headers, self._names.load.lower())),
        )

    def answer_headers(self, head: AnswerHead) -> HeaderFields:
        """Return the fields of a runner's answer that are forwarded to the client."""
        return end_to_end(head.headers, self._not_forwarded)

    def refusal_headers(self, retry_after_s: float | None) -> HeaderFields:
        """Return the fields of an answer that the gateway gives itself."""
        if retry_after_s is None:
            return ()
        return ((RETRY_AFTER, f"{retry_after_s:g}".encode()),)


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit()


def _prompt(value: str) -> tuple[PromptPart, ...]:
    parts = []
    for text in value.split(","):
        part, _, tokens = text.strip().partition(":")
        if part and _is_number(tokens):
            parts.append(PromptPart(part, int(tokens)))
    return tuple(parts)


def _numbers(value: str, count: int) -> list[int] | None:
    numbers = [text.strip() for text in value.split(",")]
    if len(numbers) != count or not all(map(_is_number, numbers)):
        return None
    return [int(number) for number in numbers]


def _usage(value: str) -> tuple[int, int]:
    numbers = _numbers(value, 2)
    return (0, 0) if numbers is None else (numbers[0], numbers[1])


def _load(value: str) -> ServerLoad | None:
    numbers = _numbers(value, 3)
    return None if numbers is None else ServerLoad(numbers[0], numbers[1], numbers[2])
