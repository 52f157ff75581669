"""Records events of items in the log and the metrics, and final outcomes in the ledger."""

from typing import Any

from rainsail.jobs.after_run import ItemOver
from rainsail.jobs.context import Ledger
from rainsail.jobs.item_run import RunEnd
from rainsail.jobs.item_wait import ItemWait
from rainsail.jobs.open_item import OpenItem
from rainsail.jobs.slot_use import SlotUse
from rainsail.logs import logger
from rainsail.node_metrics import NodeMetrics
from rainsail.quarantine.fingerprint import fingerprint_hex
from rainsail.state.job_commands import ItemOutcome

MILLISECONDS_PER_S = 1000


class ItemRecorder:
    """Logs each event of an item and updates its counter."""

    def __init__(self, ledger: Ledger, metrics: NodeMetrics) -> None:
        self._ledger = ledger
        self._metrics = metrics

    def item_waits(self, item: OpenItem, wait: ItemWait) -> None:
        """Record why an item waits now, and its permits for trials since its last run."""
        trials = wait.trials
        log = self._log_of(item).bind(cause=wait.cause.value, entry=fingerprint_hex(wait.entry))
        log = log.bind(asked=trials.asked, refused=trials.refused)
        log.bind(granted=trials.granted, unused=trials.unused).info("item_waits")

    def item_sent(self, item: OpenItem, beside: SlotUse, known_s: float) -> None:
        """Record that an item is sent to its runner, and what runs there beside a trial.

        ``known_s`` is for how long this node has known the runner's incarnation.
        """
        log = self._with_failures(self._log_of(item), item)
        if item.trial_of:
            log = log.bind(
                trial_of=",".join(map(fingerprint_hex, item.trial_of)),
                items_beside=beside.items,
                online_beside=beside.online,
                runner_known_ms=round(known_s * MILLISECONDS_PER_S),
            )
            self._metrics.count("item_trials")
        log.bind(after_event=item.progress.last_event).info("item_sent")
        self._metrics.count("item_runs")

    def item_preempted(self, item: OpenItem) -> None:
        """Record that an item's run was closed to free a slot for online work."""
        self._log_of(item).bind(last_event=item.progress.last_event).info("item_gave_way")
        self._metrics.count("items_gave_way")

    def text_dropped(self, item: OpenItem, version: str) -> None:
        """Record that an item begins anew, since another software version wrote its text so far."""
        log = self._log_of(item).bind(last_event=item.progress.last_event, version=version)
        log.info("item_text_dropped")

    def run_ended_early(
        self, item: OpenItem, end: RunEnd, reason: str, fingerprint_name: str, status: int
    ) -> None:
        """Record a run that ended without the complete answer; ``status`` is its answer's."""
        log = self._log_of(item).bind(reason=reason, fingerprint=fingerprint_name)
        log = self._with_failures(log, item).bind(status=status)
        if item.trial_of:
            log = log.bind(trial_of=",".join(map(fingerprint_hex, item.trial_of)))
        log.bind(end=end.value, last_event=item.progress.last_event).info("item_run_ended")

    def end_refuted(self, item: OpenItem, runner: str) -> None:
        """Record that a runner has ended an item's text before its last event."""
        log = self._log_of(item).bind(runner=runner, last_event=item.progress.last_event)
        log.info("item_end_refuted")

    def item_held(self, item: OpenItem) -> None:
        """Record that an item is not sent any more, since its attempts may be used up."""
        self._with_failures(self._log_of(item), item).warning("item_held")

    def item_over(self, item: OpenItem, over: ItemOver) -> None:
        """Record that an item is done or given up, and list it in the ledger."""
        log = self._with_failures(self._log_of(item), item)
        log = log.bind(done=over.done, reason=over.reason)
        log = log.bind(tokens=self._tokens_of(item), ran_s=round(item.ran_s, 3))
        log.bind(events=item.events).info("item_ended")
        self._metrics.count("items_ended", state="done" if over.done else "given_up")
        text = item.progress.text if over.done else ""
        self._ledger.list_outcome(item.job, ItemOutcome(item.index, over.done, text))

    @staticmethod
    def _with_failures(log: Any, item: OpenItem) -> Any:
        """Bind the failures that certainly have been answered, and those that may have been."""
        counts = item.failures
        log = log.bind(failed_answers=counts.failed, possible_failures=counts.possible_failures)
        return log.bind(possible_impossible=counts.possible_impossible)

    def _log_of(self, item: OpenItem) -> Any:
        """Return a logger bound to the item's and the job's ids as the client knows them."""
        job = self._ledger.job_of(item)
        job_name = item.job if job is None else job.client_id
        item_name = "" if job is None else job.items[item.index].item
        return logger.bind(job=job_name, item=item_name, runner=item.runner)

    def _tokens_of(self, item: OpenItem) -> int:
        job = self._ledger.job_of(item)
        return 0 if job is None else job.items[item.index].tokens
