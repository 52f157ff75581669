"""The interface between senders of requests and the quarantine."""

from collections.abc import Sequence
from typing import Protocol

from rainsail.cluster.messages import RunnerRecord
from rainsail.quarantine.fingerprint import Fingerprint

Fingerprints = Sequence[Fingerprint]
"""Those of one request: first its own, then those of its prompt's parts."""


class RequestGuard(Protocol):
    """Holds requests back from runners, and receives the outcomes of the others.

    A request is known by its own fingerprint and those of its prompt's parts. They cost a digest of
    the body: callers compute them only if ``holds_any`` or ``wants_answers`` is true, or if a
    connection has ended.
    """

    @property
    def holds_any(self) -> bool:
        """Whether any request is held."""
        ...

    def held_among(self, fingerprints: Fingerprints) -> Fingerprint | None:
        """Return the fingerprint for which a request must not reach a runner, if there is one."""
        ...

    def connection_ended(
        self, record: RunnerRecord, fingerprints: Fingerprints, part_ids: Sequence[str]
    ) -> bool:
        """Handle the end of a runner's connection during a request that may have been running.

        ``part_ids`` has the ids of the parts, in the order of their fingerprints. Return whether
        the request may be sent to another runner before the cause is known.
        """
        ...

    @property
    def wants_answers(self) -> bool:
        """Whether responses to some requests have to be reported."""
        ...

    def answered(
        self, record: RunnerRecord, fingerprints: Fingerprints, proves_survival: bool
    ) -> None:
        """Handle a complete response to a request.

        ``proves_survival``: the end of the response was not just the end of its connection, which a
        crash would cause too.
        """
        ...


class NoGuard:
    """A ``RequestGuard`` that does nothing, for senders without a quarantine."""

    holds_any = False
    wants_answers = False

    def held_among(self, fingerprints: Fingerprints) -> Fingerprint | None:
        """Return None."""
        return None

    def connection_ended(
        self, record: RunnerRecord, fingerprints: Fingerprints, part_ids: Sequence[str]
    ) -> bool:
        """Return True: any request may be sent again."""
        return True

    def answered(
        self, record: RunnerRecord, fingerprints: Fingerprints, proves_survival: bool
    ) -> None:
        """Do nothing."""
