"""Which crashes count against a suspect, and since when they are enough to hold it. Pure.

All of it is computed from the crashes and answers that are known, and from the list of the
quarantine. So a crash that an entry of the list explains counts again once that entry is cleared.
"""

from collections.abc import Collection, Iterable, Sequence

from rainsail.quarantine.crash_log import Crash, CrashLog
from rainsail.quarantine.fingerprint import Fingerprint, is_of_part

SAME_POINT_S = 0.25
"""How much the time for which a run has written may vary at crashes at the same point of it."""
SAME_POINT_SHARE = 0.2
"""The same, relative to that time, as runners write at different speeds."""


def counted_against(
    fingerprint: Fingerprint,
    log: CrashLog,
    entries: Collection[Fingerprint],
    convicted: Collection[Fingerprint],
) -> list[Crash]:
    """Return the crashes that count against a suspect that is not in the list, oldest first.

    ``entries`` are those of the list: parts among them explain the crashes at which they ran to
    whole requests, of which few cause crashes, but not to one that alone may have caused another
    crash. An entry of ``convicted``, which no trial has cleared, explains them to all. A part that
    crashes runners could go on meanwhile for all requests that share it. So to a part only
    convicted parts explain a crash; a request never does, as the part may be why it crashes.
    """
    crashes = log.open_of(fingerprint)
    if not is_of_part(fingerprint):
        explaining = list(convicted)
        if not any(_is_sole_suspect(fingerprint, crash) for crash in crashes):
            explaining += [each for each in entries if is_of_part(each)]
        return [each for each in crashes if not _is_explained(each, explaining)]
    parts = [each for each in convicted if is_of_part(each)]
    crashes = [each for each in crashes if not _is_explained(each, parts)]
    return _without_known_others(fingerprint, crashes, log.all_of(fingerprint))


def _is_sole_suspect(fingerprint: Fingerprint, crash: Crash) -> bool:
    """Tell whether answers have cleared all else that ran at a crash."""
    return all(each == fingerprint or each in crash.answered for each in crash.runs)


def _is_explained(crash: Crash, entries: Iterable[Fingerprint]) -> bool:
    return any(each in crash.runs and each not in crash.answered for each in entries)


def _without_known_others(
    part: Fingerprint, crashes: list[Crash], all_of_part: Sequence[Crash]
) -> list[Crash]:
    """Leave out the crashes beside a suspect that also crashed runners without the part's doing.

    An answer has cleared the part of these earlier crashes, and nothing has cleared that suspect.
    """
    others: set[Fingerprint] = set()
    for crash in all_of_part:
        if part in crash.answered:
            others.update(crash.runs.keys() - crash.answered)
    return [each for each in crashes if others.isdisjoint(each.runs)]


def enough_at_same_point_s(
    fingerprint: Fingerprint, crashes: Sequence[Crash], count: int
) -> float | None:
    """Return when the report came by which ``count`` crashes came at one point of its runs.

    None if there are not as many.
    """
    by_report = sorted((each.runs[fingerprint] for each in crashes), key=lambda run: run.reported_s)
    for number in range(count, len(by_report) + 1):
        if count_at_same_point(run.age.wrote_s for run in by_report[:number]) >= count:
            return by_report[number - 1].reported_s
    return None


def count_at_same_point(wrote_s: Iterable[float]) -> int:
    """Return how many crashes at most came at one point of the suspect's runs.

    ``wrote_s`` is how long each run had written.
    """
    ordered = sorted(wrote_s)
    most = 0
    for index, first_s in enumerate(ordered):
        last_s = first_s * (1.0 + SAME_POINT_SHARE) + SAME_POINT_S
        most = max(most, sum(each <= last_s for each in ordered[index:]))
    return most


def enough_reports_s(
    fingerprint: Fingerprint, crashes: Sequence[Crash], count: int
) -> float | None:
    """Return when the report on the crash came that made them ``count``; None if there are less."""
    if len(crashes) < count:
        return None
    return sorted(each.runs[fingerprint].reported_s for each in crashes)[count - 1]


def of_different_requests(crashes: Iterable[Crash]) -> list[Crash]:
    """Leave out the crashes at which only requests ran that ran at one of the others before.

    A request that crashes runners again and again says little of a part that others share.
    """
    seen: set[Fingerprint] = set()
    different = []
    for crash in crashes:
        suspects = crash.runs.keys() - crash.answered
        requests = {each for each in suspects if not is_of_part(each)}
        if not requests or not requests <= seen:
            different.append(crash)
        seen |= requests
    return different
