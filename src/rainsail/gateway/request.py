"""State machine of one caller's request, and the outcome of a failed request."""

from enum import StrEnum
from typing import Protocol

from automat import TypeMachineBuilder

from rainsail.errors import Outcome


class RequestStatus(StrEnum):
    """Status of a request."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    PLACING = "placing"
    RUNNING = "running"
    RECORDING = "recording"
    ENDED = "ended"


class RequestRecord:
    """Current status of a request; ``history`` lists all statuses so far, for logs."""

    __slots__ = ("history", "status")

    def __init__(self) -> None:
        self.status = RequestStatus.QUEUED
        self.history = [RequestStatus.QUEUED]

    @property
    def ended(self) -> bool:
        """Whether the request has ended."""
        return self.status is RequestStatus.ENDED

    def enter(self, status: RequestStatus) -> None:
        """Set the status and append it to the history."""
        self.status = status
        self.history.append(status)


class RequestLifecycle(Protocol):
    """Inputs of the state machine; an input that is not allowed in the current state raises."""

    def claim(self) -> None:
        """A non-repeatable request was admitted: claim its id before anything is sent."""

    def place(self) -> None:
        """Select a runner for the first attempt, or for the next one after a failure."""

    def run(self) -> None:
        """An attempt was sent."""

    def record(self) -> None:
        """The answer is complete: record it before the caller gets the end of it."""

    def end(self) -> None:
        """The caller got its final answer or fault, or has disconnected."""


_builder = TypeMachineBuilder(RequestLifecycle, RequestRecord)
_queued = _builder.state("queued")
_claiming = _builder.state("claiming")
_placing = _builder.state("placing")
_running = _builder.state("running")
_recording = _builder.state("recording")
_ended = _builder.state("ended")


# Automat searches transitions in declaration order, so the most frequent ones come first.


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
"""Creates the state machine of a request for a ``RequestRecord``."""


def failure_outcome(attempts_that_may_have_run: int) -> Outcome:
    """Return the outcome of a request that ends without an answer.

    It is NOT_RUN only when no attempt was sent, or when every engine that received one refused it
    as not run.
    """
    return Outcome.UNKNOWN if attempts_that_may_have_run else Outcome.NOT_RUN
