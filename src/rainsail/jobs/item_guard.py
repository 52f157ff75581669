"""Checks items against the quarantine, and reports to it whether runners survive their runs."""

from rainsail.cluster.messages import RunnerRecord
from rainsail.jobs.item_routes import ItemRoutes
from rainsail.jobs.item_wait import ItemWait
from rainsail.jobs.job_state import JobState
from rainsail.jobs.open_item import OpenItem
from rainsail.quarantine.fingerprint import (
    Fingerprint,
    fingerprint_hex,
    fingerprint_of,
    part_fingerprints,
)
from rainsail.quarantine.guard import Fingerprints, RequestGuard
from rainsail.relay.protocol import RelayProtocol

ITEM_METHOD = b"POST"
PERMIT_USE_S = 1.0
"""How long a permit for a trial waits for a free slot; another item may ask after that."""


class ItemGuard:
    """Applies the request guard to open items; fingerprints are computed on first use."""

    def __init__(
        self, state: JobState, guard: RequestGuard, routes: ItemRoutes, protocol: RelayProtocol
    ) -> None:
        self._state = state
        self._guard = guard
        self._routes = routes
        self._protocol = protocol

    def fingerprint_name(self, item: OpenItem, service: str) -> str:
        """Return an item's fingerprint at a service in the form used in logs."""
        return fingerprint_hex(self._fingerprint(item, service))

    def _fingerprint(self, item: OpenItem, service: str) -> Fingerprint:
        """Return an item's fingerprint at a service, which equal requests share."""
        job = self._state.jobs.get(item.job)
        route = None if job is None else self._routes.of_item(job, item.index)
        split_service = "" if route is None else route.split_service(service)
        known = item.fingerprints.get(split_service)
        if known is not None:
            return known
        if job is None:
            return b""
        request = job.items[item.index]
        made = item.fingerprints[split_service] = fingerprint_of(
            job.tenant, job.host, ITEM_METHOD, request.path.encode(), request.body, split_service
        )
        return made

    def _all_fingerprints(self, item: OpenItem, service: str) -> Fingerprints:
        """Return an item's fingerprint at a service and those of its prompt's parts."""
        return (self._fingerprint(item, service), *self._part_fingerprints(item, service))

    def _part_fingerprints(self, item: OpenItem, service: str) -> tuple[Fingerprint, ...]:
        job = self._state.jobs.get(item.job)
        if job is None or not service:
            return ()
        known = item.part_fingerprints.get(service)
        if known is not None:
            return known
        facts = self._protocol.describe_item(job.items[item.index])
        made = part_fingerprints(job.tenant, service, facts.model, facts.prompt)
        item.part_fingerprints[service] = made
        return made

    def _part_ids(self, item: OpenItem) -> list[str]:
        job = self._state.jobs.get(item.job)
        if job is None:
            return []
        prompt = self._protocol.describe_item(job.items[item.index]).prompt
        return [part.part for part in prompt[:-1]]

    def held_entry(self, item: OpenItem, service: str = "") -> Fingerprint | None:
        """Return the fingerprint for which an item must not be sent to runners of a service now.

        Without a service it is one for which no runner of any service may get it.
        """
        if not self._guard.holds_any:
            return None
        return self._guard.held_among(self._all_fingerprints(item, service))

    def unproven_entries(self, item: OpenItem, service: str) -> tuple[Fingerprint, ...]:
        """Return the fingerprints for which an item may run at a service only as a trial."""
        if not self._guard.has_unproven:
            return ()
        return tuple(self._guard.unproven_among(self._all_fingerprints(item, service)))

    def may_try(self, item: OpenItem, unproven: tuple[Fingerprint, ...], now: float) -> bool:
        """Tell whether an item that is not held may be sent now.

        One that was held needs a permit, for which this asks; it is there in one of the next
        rounds.
        """
        if not unproven:
            return True
        if now <= item.trial_until_s and set(item.permit).issuperset(unproven):
            item.trial_until_s = 0.0
            return True
        self._ask_for_trial(item, unproven, now)
        return False

    def return_permit(self, item: OpenItem) -> None:
        """Give back a permit with which an item was not sent."""
        item.trial_until_s = 0.0
        if item.wait is not None:
            item.wait.trials.unused += 1
        self._end_trial(item, has_run=False)

    def _end_trial(self, item: OpenItem, has_run: bool) -> None:
        if item.permit:
            self._guard.trial_ended(item.permit, has_run)
            item.permit = ()

    def _ask_for_trial(self, item: OpenItem, unproven: tuple[Fingerprint, ...], now: float) -> None:
        if item.wait is None:
            item.wait = ItemWait()
        trials = item.wait.trials
        if item.trial_until_s:
            self.return_permit(item)
        is_decided = is_asked = False

        def decided(may_run: bool) -> None:
            nonlocal is_decided
            is_decided = True
            if may_run:
                item.trial_until_s = now + PERMIT_USE_S
                item.permit = unproven
                trials.granted += 1
            elif is_asked:
                trials.refused += 1

        self._guard.request_trial(unproven, decided, item.ends)
        # A request that was refused lately is refused at once, without asking.
        is_asked = not is_decided
        trials.asked += is_asked

    def is_suspect(self, item: OpenItem, service: str) -> bool:
        """Tell whether an item's run at a service may crash its runner, as far as is known."""
        if item.ends:
            return True
        if not self._guard.wants_answers:
            return False
        return bool(self._guard.suspects_among(self._all_fingerprints(item, service)))

    def is_on_trial(self, item: OpenItem) -> bool:
        """Tell whether an item's run is a trial that has not told anything yet."""
        return bool(item.trial_of and self._guard.unproven_among(item.trial_of))

    def on_run_goes_on(self, item: OpenItem, record: RunnerRecord | None) -> None:
        """Report a run that has gone on for a while, as its runner has survived the prompt."""
        self._end_trial(item, has_run=True)
        if record is not None:
            parts = self._part_fingerprints(item, record.service)
            self._guard.answered(record, parts, proves_survival=False)

    def on_run_ended(self, item: OpenItem, record: RunnerRecord | None) -> None:
        """Report a connection that ended during a run, or a run that its runner survived."""
        run = item.run
        if run is not None and not run.connection_ended:
            self._end_trial(item, run.was_sent)
        if run is None or record is None:
            return
        if run.connection_ended:
            item.ends += 1
            fingerprints = self._all_fingerprints(item, record.service)
            self._guard.connection_ended(record, fingerprints, self._part_ids(item), run.times)
        elif run.is_whole and self._guard.wants_answers:
            fingerprints = self._all_fingerprints(item, record.service)
            self._guard.answered(record, fingerprints, run.proves_survival)
