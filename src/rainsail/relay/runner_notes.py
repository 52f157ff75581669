"""What the attempts of one request tell of the runners, and whether it may reach one at all."""

from collections.abc import Callable

from rainsail.quarantine.fingerprint import Fingerprint
from rainsail.relay.attempt import Attempt
from rainsail.relay.context import RelayContext


class RunnerNotes:
    """Notes each attempt's end where loads, connections and held requests are kept."""

    def __init__(self, context: RelayContext, fingerprint: Callable[[], Fingerprint]) -> None:
        """``fingerprint`` returns the request's; it is asked for only where it is needed."""
        self._context = context
        self._fingerprint = fingerprint

    def request_is_held(self) -> bool:
        """Tell whether no runner may get the request."""
        guard = self._context.guard
        return guard.holds_any and guard.holds(self._fingerprint())

    def answered(self, attempt: Attempt) -> None:
        """The runner has answered soundly: the request has not ended it."""
        self._context.loads.answered(attempt.record.runner)
        if self._context.guard.wants_answers and attempt.proves_survival:
            self._context.guard.answered(self._fingerprint())

    def failed(self, attempt: Attempt) -> None:
        """The runner answered with a failure of its own."""
        self._context.loads.failed(attempt.record.runner, self._context.clock.seconds())

    def refused(self, attempt: Attempt) -> None:
        """The runner was full, or its address belongs to another one."""
        assert attempt.verdict is not None
        now = self._context.clock.seconds()
        if attempt.verdict.other_runner:
            self._context.loads.failed(attempt.record.runner, now, at_once=True)
        else:
            self._context.loads.full(attempt.record.runner, now)

    def unreached(self, attempt: Attempt) -> None:
        """No connection to the runner could be opened."""
        now = self._context.clock.seconds()
        self._context.loads.failed(attempt.record.runner, now, at_once=True)
        self._context.pool.forget(attempt.record.address)

    def broke(self, attempt: Attempt) -> bool:
        """The runner's answer broke off; tell whether the request may go on elsewhere at once."""
        self.failed(attempt)
        self._context.pool.forget(attempt.record.address)
        if not attempt.connection_ended:
            return True
        return self._context.guard.connection_ended(attempt.record, self._fingerprint())
