"""Outcomes of online requests, and their times to the first event."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from rainsail.account.log_lines import LogLine

OUTCOMES = ("completed", "refused", "failed", "broken")
MILLISECONDS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class RequestTimes:
    """One request at a gateway; times are seconds since the first midnight of the logs.

    ``first_s`` is the time from the beginning to the first event, None if there was none.
    """

    route: str
    runners: tuple[str, ...]
    outcome: str
    reason: str
    begin_s: float
    end_s: float
    first_s: float | None
    sends: int


@dataclass(slots=True)
class RouteTimes:
    """The totals of one route's requests."""

    outcomes: Counter[str] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)
    first_s: list[float] = field(default_factory=list)
    sent_again: int = 0

    def first_quantile_s(self, share: float) -> float | None:
        """Return the quantile of the times to the first event, None without any."""
        ordered = sorted(self.first_s)
        if not ordered:
            return None
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def request_times(lines: Iterable[LogLine]) -> list[RequestTimes]:
    """Return the requests whose end is logged."""
    found: list[RequestTimes] = []
    for line in lines:
        outcome = line.event.removeprefix("request_")
        if outcome == line.event or outcome not in OUTCOMES:
            continue
        took_ms = line.number("took_ms") or 0.0
        first_ms = line.number("first_ms")
        runners = tuple(name for name in line.text("runners").split(",") if name)
        found.append(
            RequestTimes(
                line.text("route"),
                runners,
                outcome,
                line.text("reason"),
                line.at_s - took_ms / MILLISECONDS_PER_S,
                line.at_s,
                None if first_ms is None else first_ms / MILLISECONDS_PER_S,
                int(line.number("sends") or 0),
            )
        )
    return found


def by_route(requests: Iterable[RequestTimes]) -> dict[str, RouteTimes]:
    """Return the totals by route."""
    routes: dict[str, RouteTimes] = {}
    for request in requests:
        route = routes.setdefault(request.route, RouteTimes())
        route.outcomes[request.outcome] += 1
        if request.outcome != "completed":
            route.reasons[request.reason or "not said"] += 1
        if request.first_s is not None:
            route.first_s.append(request.first_s)
        route.sent_again += request.sends > 1
    return routes
