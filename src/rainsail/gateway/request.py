"""The life of one caller's request as a state machine, and the truth of its outcome."""

from enum import StrEnum
from typing import Protocol

from automat import TypeMachineBuilder

from rainsail.errors import Outcome


class RequestStatus(StrEnum):
    """Where a request stands."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    PLACING = "placing"
    RUNNING = "running"
    RECORDING = "recording"
    ENDED = "ended"


class RequestRecord:
    """The status that the machine keeps; ``history`` is what it went through, for logs."""

    __slots__ = ("history", "status")

    def __init__(self) -> None:
        self.status = RequestStatus.QUEUED
        self.history = [RequestStatus.QUEUED]

    @property
    def ended(self) -> bool:
        """Whether the request has ended."""
        return self.status is RequestStatus.ENDED

    def enter(self, status: RequestStatus) -> None:
        """Note the new status."""
        self.status = status
        self.history.append(status)


class RequestLifecycle(Protocol):
    """The inputs of a request's machine; one that has no place in a state raises."""

    def claim(self) -> None:
        """Admitted, non-repeatable: claim its id before anything is sent."""

    def place(self) -> None:
        """Look for a runner (the first, or the next after a failed attempt)."""

    def run(self) -> None:
        """An attempt was sent."""

    def record(self) -> None:
        """The answer is whole: record it before the caller hears the end."""

    def end(self) -> None:
        """The caller got its one final answer, or has left."""


_builder = TypeMachineBuilder(RequestLifecycle, RequestRecord)
_queued = _builder.state("queued")
_claiming = _builder.state("claiming")
_placing = _builder.state("placing")
_running = _builder.state("running")
_recording = _builder.state("recording")
_ended = _builder.state("ended")


# Automat looks transitions up in the order of their declaration: the common path comes first.


@_queued.upon(RequestLifecycle.place).to(_placing)
@_claiming.upon(RequestLifecycle.place).to(_placing)
@_running.upon(RequestLifecycle.place).to(_placing)
def _place(machine: RequestLifecycle, record: RequestRecord) -> None:
    record.enter(RequestStatus.PLACING)


@_placing.upon(RequestLifecycle.run).to(_running)
def _run(machine: RequestLifecycle, record: RequestRecord) -> None:
    record.enter(RequestStatus.RUNNING)


@_running.upon(RequestLifecycle.record).to(_recording)
@_claiming.upon(RequestLifecycle.record).to(_recording)
@_placing.upon(RequestLifecycle.record).to(_recording)
def _record(machine: RequestLifecycle, record: RequestRecord) -> None:
    record.enter(RequestStatus.RECORDING)


@_recording.upon(RequestLifecycle.end).to(_ended)
@_queued.upon(RequestLifecycle.end).to(_ended)
@_claiming.upon(RequestLifecycle.end).to(_ended)
@_placing.upon(RequestLifecycle.end).to(_ended)
@_running.upon(RequestLifecycle.end).to(_ended)
def _end(machine: RequestLifecycle, record: RequestRecord) -> None:
    record.enter(RequestStatus.ENDED)


@_queued.upon(RequestLifecycle.claim).to(_claiming)
def _claim(machine: RequestLifecycle, record: RequestRecord) -> None:
    record.enter(RequestStatus.CLAIMING)


new_lifecycle = _builder.build()
"""Makes a request's machine over a ``RequestRecord``."""


def failure_outcome(attempts_that_may_have_run: int) -> Outcome:
    """Return the truth about a request that ends without an answer.

    NOT_RUN only when no attempt was sent, or every engine that got one said that it did not
    run it.
    """
    return Outcome.UNKNOWN if attempts_that_may_have_run else Outcome.NOT_RUN
