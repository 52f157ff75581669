"""The figures of the log analysis, as plain values for printing and JSON."""

from statistics import median
from typing import Any

from rainsail.account.item_bound import max_in_time
from rainsail.account.item_times import ItemTimes, item_times
from rainsail.account.log_lines import Log
from rainsail.account.occupancy import Occupancy, occupancy
from rainsail.account.request_times import RouteTimes, by_route, request_times


class Account:
    """The result of the ``account`` command: timelines, routes, occupancy and their summary."""

    def __init__(self, log: Log, due_s: float | None, slots: float | None) -> None:
        self.log = log
        self.items: list[ItemTimes] = item_times(log.lines)
        requests = request_times(log.lines)
        self.routes: dict[str, RouteTimes] = by_route(requests)
        self.occupancy: Occupancy = occupancy(log.lines, self.items, requests)
        self.slots = slots
        self._due_s = due_s

    def summary(self) -> dict[str, Any]:
        """Return the figures as plain values; times are seconds."""
        return {
            "damaged": [str(each) for each in self.log.damaged],
            "items": self._items(),
            "jobs": self._jobs(),
            "routes": {name: _route(times) for name, times in sorted(self.routes.items())},
            "seconds": self._seconds(),
            "moments": [
                {"at": round(each.at_s, 3), "node": each.node, "event": each.event}
                for each in self.occupancy.moments
            ],
        }

    def _items(self) -> dict[str, Any]:
        items = self.items
        ended = [item for item in items if item.ended_s is not None]
        after_preemptions = [
            pause for item in items for pause in item.pauses_s(after_preemptions=True)
        ]
        after_interruptions = [
            pause for item in items for pause in item.pauses_s(after_preemptions=False)
        ]
        found: dict[str, Any] = {
            "ran": len(items),
            "ended": len(ended),
            "done": sum(item.done for item in items),
            "runs": sum(len(item.runs) for item in items),
            "cuts": sum(item.preemptions for item in items),
            "cuts_moved_at_once": sum(item.moved_immediately for item in items),
            "broken_runs": sum(run.broken for item in items for run in item.runs),
            "repeated_events": sum(item.repeated_events for item in items),
            "median_waiting_s": _median([item.waiting_s for item in items if item.runs]),
            "median_running_s": _median([item.running_s for item in ended]),
            "waiting_s": _sum(item.waiting_s for item in items),
            "running_s": _sum(item.running_s for item in items),
            "cut_and_waiting_s": _sum(after_preemptions),
            "lost_and_waiting_s": _sum(after_interruptions),
        }
        if self._due_s is not None:
            in_time = sum(item.in_time(self._due_s) for item in items)
            bound = max_in_time(items, self.occupancy, self._due_s, self.slots)
            found["in_time"] = in_time
            found["bound"] = bound
            found["share_of_bound"] = round(in_time / bound, 3) if bound else None
        return found

    def _jobs(self) -> list[dict[str, Any]]:
        jobs: dict[str, list[ItemTimes]] = {}
        for item in self.items:
            jobs.setdefault(item.job, []).append(item)
        return [self._job(job, items) for job, items in jobs.items()]

    def _job(self, job: str, items: list[ItemTimes]) -> dict[str, Any]:
        accepted_s = min(item.accepted_s for item in items)
        ends_s = [item.ended_s - accepted_s for item in items if item.ended_s is not None]
        found: dict[str, Any] = {
            "job": job,
            "accepted": round(accepted_s, 3),
            "items": len(items),
            "first_end_s": round(min(ends_s), 2) if ends_s else None,
            "last_end_s": round(max(ends_s), 2) if ends_s else None,
            "cuts": sum(item.preemptions for item in items),
        }
        if self._due_s is not None:
            found["in_time"] = sum(item.in_time(self._due_s) for item in items)
        return found

    def _seconds(self) -> list[dict[str, Any]]:
        taken = self.occupancy
        rows = zip(taken.items, taken.online, taken.waiting, strict=True)
        return [
            {
                "at": taken.begin_s + second,
                "items": round(items, 1),
                "online": round(online, 1),
                "waiting": round(waiting, 1),
            }
            for second, (items, online, waiting) in enumerate(rows)
        ]


def _route(times: RouteTimes) -> dict[str, Any]:
    return {
        **{outcome: count for outcome, count in sorted(times.outcomes.items())},
        "sent_again": times.sent_again,
        "first_p50_s": times.first_quantile_s(0.5),
        "first_p99_s": times.first_quantile_s(0.99),
        "reasons": dict(times.reasons.most_common()),
    }


def _median(values: list[float]) -> float | None:
    return round(median(values), 3) if values else None


def _sum(values: Any) -> float:
    return round(sum(values), 1)
