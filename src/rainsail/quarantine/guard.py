"""What whoever sends requests to runners asks and tells about requests that end runners."""

from typing import Protocol

from rainsail.cluster.messages import RunnerRecord
from rainsail.quarantine.fingerprint import Fingerprint


class RequestGuard(Protocol):
    """Keeps held requests from runners, and learns what became of the others.

    Fingerprints cost a digest of the body: they are to be made only where the answers ask for it.
    """

    @property
    def holds_any(self) -> bool:
        """Tell whether some request is held."""
        ...

    def holds(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a request must not reach a runner."""
        ...

    def connection_ended(self, record: RunnerRecord, fingerprint: Fingerprint) -> bool:
        """A runner's connection ended under a request that may have been running.

        Returns whether the request may go to another runner before it is known what that means.
        """
        ...

    @property
    def wants_answers(self) -> bool:
        """Tell whether an answer to some request would be news."""
        ...

    def answered(self, fingerprint: Fingerprint) -> None:
        """A runner has answered a request whole."""
        ...


class NoGuard:
    """Implements ``RequestGuard`` where nothing is held."""

    holds_any = False
    wants_answers = False

    def holds(self, fingerprint: Fingerprint) -> bool:
        """Hold nothing."""
        return False

    def connection_ended(self, record: RunnerRecord, fingerprint: Fingerprint) -> bool:
        """Learn nothing."""
        return True

    def answered(self, fingerprint: Fingerprint) -> None:
        """Learn nothing."""
