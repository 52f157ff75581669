"""The interface between senders of requests and the quarantine."""

from collections.abc import Callable, Sequence
from typing import Protocol

from rainsail.cluster.messages import RunnerRecord
from rainsail.quarantine.fingerprint import Fingerprint
from rainsail.quarantine.run_times import RunTimes

Fingerprints = Sequence[Fingerprint]
"""Those of one request: first its own, then those of its prompt's parts."""
TrialDecided = Callable[[bool], None]
"""Gets whether a request may run as a trial."""


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

    @property
    def has_unproven(self) -> bool:
        """Whether any request may run only as a trial."""
        ...

    def unproven_among(self, fingerprints: Fingerprints) -> Fingerprints:
        """Return the fingerprints for which a request may run only as a trial."""
        ...

    def suspects_among(self, fingerprints: Fingerprints) -> Fingerprints:
        """Return the fingerprints of which a run may crash its runner, as far as is known."""
        ...

    def may_have_crashed(self, record: RunnerRecord) -> bool:
        """Tell whether a runner was found crashed, or whether a check of that is pending."""
        ...

    def request_trial(
        self, fingerprints: Fingerprints, decided: TrialDecided, ends: int = 0
    ) -> None:
        """Ask for the permit of one trial run; ``decided`` is called at once or later.

        ``ends`` is during how many of the request's runs the connection has ended.
        """
        ...

    def trial_ended(self, fingerprints: Fingerprints, has_run: bool) -> None:
        """Handle the end of a trial that was permitted for these fingerprints.

        ``has_run`` is false if the request has certainly not reached a runner. Not needed for a run
        whose connection has ended, and without effect after ``connection_ended``.
        """
        ...

    def connection_ended(
        self,
        record: RunnerRecord,
        fingerprints: Fingerprints,
        part_ids: Sequence[str],
        times: RunTimes,
    ) -> bool:
        """Handle the end of a runner's connection during a request that may have been running.

        ``part_ids`` has the ids of the parts, in the order of their fingerprints, and ``times``
        are those of the run. Return whether the request may be sent to another runner before the
        cause is known.
        """
        ...

    def connection_refused(self, record: RunnerRecord) -> None:
        """Handle a refused connection: the runner's process may have ended unnoticed."""
        ...

    @property
    def wants_answers(self) -> bool:
        """Whether responses to some requests have to be reported."""
        ...

    def answered(
        self, record: RunnerRecord, fingerprints: Fingerprints, proves_survival: bool
    ) -> None:
        """Handle a complete response to a request, or one that has gone on for a while.

        ``proves_survival``: the end of the response was not just the end of its connection, which a
        crash would cause too.
        """
        ...


class NoGuard:
    """A ``RequestGuard`` that does nothing, for senders without a quarantine."""

    holds_any = False
    wants_answers = False
    has_unproven = False

    def held_among(self, fingerprints: Fingerprints) -> Fingerprint | None:
        """Return None."""
        return None

    def unproven_among(self, fingerprints: Fingerprints) -> Fingerprints:
        """Return nothing."""
        return ()

    def suspects_among(self, fingerprints: Fingerprints) -> Fingerprints:
        """Return nothing."""
        return ()

    def may_have_crashed(self, record: RunnerRecord) -> bool:
        """Return False."""
        return False

    def request_trial(
        self, fingerprints: Fingerprints, decided: TrialDecided, ends: int = 0
    ) -> None:
        """Permit it."""
        decided(True)

    def trial_ended(self, fingerprints: Fingerprints, has_run: bool) -> None:
        """Do nothing."""

    def connection_ended(
        self,
        record: RunnerRecord,
        fingerprints: Fingerprints,
        part_ids: Sequence[str],
        times: RunTimes,
    ) -> bool:
        """Return True: any request may be sent again."""
        return True

    def connection_refused(self, record: RunnerRecord) -> None:
        """Do nothing."""

    def answered(
        self, record: RunnerRecord, fingerprints: Fingerprints, proves_survival: bool
    ) -> None:
        """Do nothing."""
