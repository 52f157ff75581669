"""The interface between senders of requests and the quarantine."""

from typing import Protocol

from rainsail.cluster.messages import RunnerRecord
from rainsail.quarantine.fingerprint import Fingerprint


class RequestGuard(Protocol):
    """Holds requests back from runners, and receives the outcomes of the others.

    A fingerprint costs a digest of the body: callers compute it only if ``holds_any`` or
    ``wants_answers`` is true, or if a connection has ended.
    """

    @property
    def holds_any(self) -> bool:
        """Whether any request is held."""
        ...

    def holds(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request must not reach a runner."""
        ...

    def connection_ended(self, record: RunnerRecord, fingerprint: Fingerprint) -> bool:
        """Handle the end of a runner's connection during a request that may have been running.

        Return whether the request may be sent to another runner before the cause is known.
        """
        ...

    @property
    def wants_answers(self) -> bool:
        """Whether responses to some requests have to be reported."""
        ...

    def answered(self, fingerprint: Fingerprint) -> None:
        """Handle a complete response to a request."""
        ...


class NoGuard:
    """A ``RequestGuard`` that does nothing, for senders without a quarantine."""

    holds_any = False
    wants_answers = False

    def holds(self, fingerprint: Fingerprint) -> bool:
        """Return False."""
        return False

    def connection_ended(self, record: RunnerRecord, fingerprint: Fingerprint) -> bool:
        """Return True: any request may be sent again."""
        return True

    def answered(self, fingerprint: Fingerprint) -> None:
        """Do nothing."""
