"""Known-bad variants of the relay: each violates one guarantee, and the checks must detect it."""

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, replace
from typing import Any
from unittest import mock

from rainsail.http.client import ClientConnection
from rainsail.relay import client_answer, continuation, run
from rainsail.relay.attempt import Attempt
from rainsail.relay.client_answer import ClientAnswer
from rainsail.relay.continuation import STATUS_UNAVAILABLE, RequestOutcome
from rainsail.relay.run import RelayRun
from rainsail.relay.sender import RequestSender


@dataclass(frozen=True)
class Patch:
    """Replaces ``owner.attribute`` by what ``make`` returns for the original."""

    owner: Any
    attribute: str
    make: Callable[[Any], Any]

    def prepared(self) -> Any:
        """Return the patch, to be started."""
        original = getattr(self.owner, self.attribute)
        return mock.patch.object(self.owner, self.attribute, self.make(original))


@dataclass(frozen=True)
class Defect:
    """A variant; ``words`` is a part of the violation that the check must report."""

    words: str
    patches: tuple[Patch, ...]

    @contextmanager
    def in_place(self) -> Iterator[None]:
        """Apply the defect within the context."""
        with ExitStack() as stack:
            for patch in self.patches:
                stack.enter_context(patch.prepared())
            yield


def _take_any_answer(original: Any) -> Any:
    """Accept any runner's answer as a part of the client's answer."""
    return lambda self, attempt: True


def _append_failures(original: Any) -> Any:
    """Treat the end of any answer as the end of the client's answer."""

    def answer_received(self: RelayRun, attempt: Attempt) -> None:
        if not self._answer.begun:
            original(self, attempt)
            return
        self._sender.attempt = None
        self._answer.write_body(attempt)
        self._answer.end()
        self._finish(RequestOutcome.COMPLETED)

    return answer_received


def _end_half_events(original: Any) -> Any:
    """Complete a stream with whatever arrived last."""

    def answer_ended(self: Attempt) -> None:
        if self.stream is None:
            original(self)
        elif self._end():
            run: Any = self._owner
            run._sender.attempt = None
            run._answer._begin(self)
            run._answer._exchange.write(self.stream.rest)
            run._answer.end()
            run._finish(RequestOutcome.COMPLETED)

    return answer_ended


def _allow_gaps(original: Any) -> Any:
    """Accept any event as the next one."""
    return lambda event, last_event: False


def _always_promise(original: Any) -> Any:
    """Refuse with 503 whether or not a runner may have run the request."""
    return lambda status, *others: original(STATUS_UNAVAILABLE, *others)


def _count_no_attempts(original: Any) -> Any:
    """Never reach a route's maximum of attempts."""
    return lambda progress, *others: original(replace(progress, attempts=0), *others)


def _state_whole_deadline(original: Any) -> Any:
    """Tell each runner of the client's whole deadline."""
    return lambda self: self._facts.deadline_s


def _leave_silent_first(original: Any) -> Any:
    """Give a silent runner up before another one is asked."""

    def keep_silent(self: RequestSender, has_begun: bool) -> None:
        original(self, has_begun)
        silent = self.take_silent()
        assert silent is not None
        silent.cancel()

    return keep_silent


def _fail_unframed(original: Any) -> Any:
    """Take the close behind an answer without a length or chunks for a failure."""
    return lambda self, in_order: original(self, False)


def _fail_at_surplus(original: Any) -> Any:
    """Take any bytes behind the end of an answer for damage."""

    def take_end(self: ClientConnection, *arguments: Any) -> None:
        if self._http.trailing_data[0]:
            self._fail("bytes behind the end")
        else:
            original(self, *arguments)

    return take_end


DEFECTS = {
    "appends a failure to a resumed stream": Defect(
        "a runner's failure in it",
        (
            Patch(ClientAnswer, "may_include", _take_any_answer),
            Patch(RelayRun, "answer_received", _append_failures),
        ),
    ),
    "ends half an event as complete": Defect(
        "half an event", (Patch(Attempt, "answer_ended", _end_half_events),)
    ),
    "lets a gap through": Defect(
        "events missing or repeated", (Patch(client_answer, "leaves_gap", _allow_gaps),)
    ),
    "gives a silent runner up before another one takes the request": Defect(
        "though its runner's answer was whole",
        (Patch(RequestSender, "keep_silent", _leave_silent_first),),
    ),
    "cuts whole answers that have neither a length nor chunks": Defect(
        "cut though its runner's answer was whole",
        (Patch(ClientConnection, "_take_close", _fail_unframed),),
    ),
    "drops a whole answer with a second one behind it": Defect(
        "cut though its runner's answer was whole",
        (Patch(ClientConnection, "_take_end", _fail_at_surplus),),
    ),
    "counts no attempts": Defect(
        "runners, of 4 allowed", (Patch(run, "decide_send", _count_no_attempts),)
    ),
    "states the whole deadline at each attempt": Defect(
        "are left", (Patch(RequestSender, "_deadline_left_s", _state_whole_deadline),)
    ),
    "answers 503 after a run": Defect(
        "answered 503 after a run", (Patch(continuation, "_refuse", _always_promise),)
    ),
}
