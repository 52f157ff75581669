"""Finds the guarantees that a history violates, only by what clients and runners observed."""

from collections import defaultdict

from features.support.relay_soak.content import (
    events,
    failure_body,
    last_event,
    whole_body,
    whole_stream,
)
from features.support.relay_soak.history import (
    ClientRequest,
    Ending,
    Framing,
    History,
    Outcome,
    RunnerRun,
)

PROMISES_NOT_RUN = (408, 421, 429, 503)
OWN_STATUSES = (502, 503, 504)
"""Statuses that a gateway sends itself, without a body."""
SLACK_S = 0.05
"""Tolerance on a route's time-out for the transfer of the bytes."""
ASK_AGAIN_S = 1.0
"""With less time left at its end, a stream can't be asked for at another runner any more."""
AGREEING_RUNNERS = 2
"""So many runners that state the same end of a stream can't be told from its true end."""
MIN_STATUS, MIN_INVALID_STATUS = 200, 600
"""Final answers have a status from the first to below the second one."""
SAME_MOMENT_S = 0.01
"""The most between the ends of connections that a crash ends."""
REFUSED_WITHIN_S = 0.06
"""The time behind the end of an unframed answer in which a gateway looks whether its runner lives.
"""


class Judge:
    """Checks a history; ``unclear`` counts the streams whose true end can't be known.

    A stream that is told as complete too early is unclear only if no evidence was to be had. A
    crash of its runner is evidence, and so is another runner that could have been asked to go on.
    """

    def __init__(self, history: History) -> None:
        self._history = history
        self._runs: dict[str, list[RunnerRun]] = defaultdict(list)
        for run in history.runs:
            self._runs[run.request].append(run)
        self.unclear = 0
        self.seemingly_crashed = 0
        """How many whole unframed answers were cut since their runners did what a crash does."""

    def violations(self) -> list[str]:
        """Return every violation in words."""
        found = []
        for asked in self._history.requests:
            words = [*self._end(asked), *self._runs_of(asked), *self._answer(asked)]
            found += [f"{asked.kind} request {asked.request}: {each}" for each in words]
        return found

    def _end(self, asked: ClientRequest) -> list[str]:
        if asked.ended_s is None:
            return ["it never ended"]
        late_s = asked.ended_s - asked.sent_s - asked.timeout_s
        return [f"it ended {late_s:.2f} s too late"] if late_s > SLACK_S else []

    def _runs_of(self, asked: ClientRequest) -> list[str]:
        ran = sum(run.ran for run in self._runs[asked.request])
        words = []
        if asked.kind.runs_once and ran > 1:
            words.append(f"it ran {ran} times")
        if asked.status in PROMISES_NOT_RUN and ran:
            words.append(f"it was answered {asked.status} after a run")
        reached = {run.runner for run in self._runs[asked.request] if run.ran}
        if len(reached) > asked.max_attempts:
            words.append(f"it ran at {len(reached)} runners, of {asked.max_attempts} allowed")
        return words + self._told_left(asked)

    def _told_left(self, asked: ClientRequest) -> list[str]:
        """Check that each runner was told of no more time than the client had left."""
        words = []
        for run in self._runs[asked.request]:
            if run.told_left_s is None:
                words.append(f"{run.runner} was told of no deadline")
                continue
            left_s = asked.sent_s + asked.timeout_s - run.began_s
            if run.told_left_s > max(0.0, left_s) + SLACK_S:
                words.append(
                    f"{run.runner} was told that {run.told_left_s} s of {left_s:.2f} are left"
                )
        return words

    def _answer(self, asked: ClientRequest) -> list[str]:
        words = ["bytes after its end"] if asked.surplus else []
        if not asked.status or asked.outcome == Outcome.LEFT:
            return words
        if not MIN_STATUS <= asked.status < MIN_INVALID_STATUS:
            return [*words, f"answered {asked.status}, which means nothing in HTTP"]
        if not 200 <= asked.status < 300:
            return words + self._failure(asked)
        if asked.outcome != Outcome.COMPLETE:
            return words + self._cut(asked)
        if asked.kind.is_stream:
            return words + self._stream(asked)
        return words if asked.body == whole_body(asked.request) else [*words, "not its answer"]

    def _cut(self, asked: ClientRequest) -> list[str]:
        """Check that a success is not cut before its deadline if its runs were complete."""
        runs = self._runs_in_time(asked)
        did_well = all(map(self._was_told_whole, runs)) and not self._crashed_since(asked, runs)
        if did_well and len(runs) == 1:
            return ["it was cut though its runner's answer was whole"]
        did_well = did_well and all(_is_rest_of_stream(run) for run in runs)
        if did_well and runs and runs[0].framing == Framing.CLOSE:
            return ["it was cut though the answers of its runners were whole"]
        return []

    def _runs_in_time(self, asked: ClientRequest) -> list[RunnerRun]:
        """Return the runs of a request that ended before its deadline, of others none."""
        assert asked.ended_s is not None
        in_time = asked.ended_s - asked.sent_s < asked.timeout_s - SLACK_S
        return [run for run in self._runs[asked.request] if run.ran and in_time]

    def _was_told_whole(self, run: RunnerRun) -> bool:
        """Tell whether a gateway can know that an answer was whole."""
        if not run.whole or any(run is unsent for unsent in self._history.unsent):
            return False
        if self._seems_crashed(run):
            self.seemingly_crashed += 1
            return False
        return True

    def _seems_crashed(self, run: RunnerRun) -> bool:
        """Tell whether the runner did at the end of an unframed answer what one that crashes does.

        It ended another connection at the same moment, or refused one right behind it.
        """
        losses = [each for each in self._history.losses if each.runner == run.runner]
        ends = [each for each in losses if each.run is run]
        if run.framing != Framing.CLOSE or not ends:
            return False
        after_s = [
            each.at_s - ends[0].at_s
            for each in losses
            if each is not ends[0] and not each.is_refusal
        ]
        refused_s = [each.at_s - ends[0].at_s for each in losses if each.is_refusal]
        same_moment = any(abs(each) <= SAME_MOMENT_S for each in after_s)
        return same_moment or any(0 <= each <= REFUSED_WITHIN_S for each in refused_s)

    def _only_run_in_time(self, asked: ClientRequest) -> RunnerRun | None:
        """Return the only run of a request that ended before its deadline."""
        runs = self._runs_in_time(asked)
        return runs[0] if len(runs) == 1 else None

    def _crashed_since(self, asked: ClientRequest, runs: list[RunnerRun]) -> bool:
        """Tell whether one of these runners crashed between the run's begin and the answer's end.

        Behind a whole answer without framing, such a crash may have been its end.
        """
        assert asked.ended_s is not None
        return any(
            run.runner == crash.runner and run.began_s <= crash.at_s <= asked.ended_s
            for run in runs
            for crash in self._history.crashes
        )

    # --- failures ------------------------------------------------------------------------

    def _failure(self, asked: ClientRequest) -> list[str]:
        """Check that a failure is a runner's, complete, or the gateway's own, without a body."""
        if asked.outcome == Outcome.COMPLETE and not asked.body and asked.status in OWN_STATUSES:
            only_run = self._only_run_in_time(asked)
            did_well = only_run is not None and self._was_told_whole(only_run)
            did_well = did_well and only_run.status == 200
            did_well = did_well and not asked.kind.runs_once
            did_well = did_well and not _proves_nothing(asked, only_run)
            did_well = did_well and not self._crashed_since(asked, self._runs[asked.request])
            return ["it failed though its runner's answer was whole"] if did_well else []
        same = [run for run in self._runs[asked.request] if run.status == asked.status]
        if asked.outcome == Outcome.COMPLETE:
            whole = any(run.whole and run.body == asked.body for run in same)
            return [] if whole else [f"an answer {asked.status} is not whole"]
        broke = any(not run.whole or run.crashed_s is not None for run in same)
        return [] if broke else [f"an answer {asked.status} was cut though its runner's was whole"]

    # --- streams -------------------------------------------------------------------------

    def _stream(self, asked: ClientRequest) -> list[str]:
        if asked.body == whole_stream(asked.request, asked.after_event):
            return self._proof(asked)
        last = _last_event_of(asked)
        if last is not None and self._is_unclear(asked, last):
            self.unclear += 1
            return []
        runs = self._runs[asked.request]
        if any(failure_body(asked.request, run.status, 0) in asked.body for run in runs):
            return ["ended as complete with a runner's failure in it"]
        evidence = "" if last is None else _evidence(runs, last)
        return [f"ended as complete with {_what_is_wrong(asked)}{evidence}"]

    def _proof(self, asked: ClientRequest) -> list[str]:
        """Check that a resumption was not ended by one run without an event, though it was whole.

        Such an answer may as well have lost its events.
        """
        only_run = self._only_run_in_time(asked)
        may_ask_another = asked.max_attempts > 1
        if may_ask_another and only_run is not None and _proves_nothing(asked, only_run):
            return ["ended as complete by one run without an event"]
        return []

    def _is_unclear(self, asked: ClientRequest, last: int) -> bool:
        """Tell whether nothing showed that a stream has events behind the ``last`` one it brought.

        Without a length or chunks, the close of one connection between two events can't be told
        from the end of the stream by this run. Another runner can tell, if it can be asked.
        """
        stating = [run for run in self._runs[asked.request] if states_end(run, last)]
        if asked.kind.runs_once:
            return bool(stating)
        if len({run.runner for run in stating}) >= AGREEING_RUNNERS:
            return True
        is_stated = any(run.body or run.states_early_end for run in stating)
        return is_stated and not self._could_ask_again(asked)

    def _could_ask_again(self, asked: ClientRequest) -> bool:
        """Tell whether another runner could be asked to go on when the answer ended."""
        runs = self._runs[asked.request]
        assert asked.ended_s is not None
        if len(runs) >= asked.max_attempts:
            return False
        if asked.ended_s > asked.sent_s + asked.timeout_s - ASK_AGAIN_S:
            return False
        down = {
            crash.runner
            for crash in self._history.crashes
            if crash.at_s <= asked.ended_s < crash.back_s
        }
        return bool(set(self._history.runners) - down - {run.runner for run in runs})


def states_end(run: RunnerRun, last: int) -> bool:
    """Tell whether a run has ended in order behind event ``last``, its runner's process alive.

    An answer with a length or chunks states its end by these only.
    """
    if run.status != 200 or run.crashed_s is not None:
        return False
    if not run.states_early_end and (run.framing, run.ending) != (Framing.CLOSE, Ending.CLOSE):
        return False
    begun_behind = run.after_event or 0
    if last < max(begun_behind, 1):
        return False
    behind = events(run.request, begun_behind + 1, last)
    repeated = events(run.request, max(begun_behind, 1), last)
    return run.body in (behind, repeated)


def _evidence(runs: list[RunnerRun], last: int) -> str:
    """Tell what showed that a stream has events behind the ``last`` one."""
    if any(states_end(run, last) for run in runs):
        return ", though another runner could be asked"
    return ", behind a crash" if any(run.crashed_s is not None for run in runs) else ""


def _is_rest_of_stream(run: RunnerRun) -> bool:
    """Tell whether a run brought all events behind its first one."""
    begun_behind, last = run.after_event or 0, last_event(run.request)
    rest = events(run.request, begun_behind + 1, last)
    return run.body in (rest, events(run.request, max(begun_behind, 1), last))


def _last_event_of(asked: ClientRequest) -> int | None:
    """Return the event behind which a stream ends too early; None if it has another fault."""
    first = (asked.after_event or 0) + 1
    for last in range(max(first - 1, 1), last_event(asked.request)):
        if asked.body == events(asked.request, first, last):
            return last
    return None


def _proves_nothing(asked: ClientRequest, run: RunnerRun) -> bool:
    """Tell whether a run has answered a resumption without an event."""
    return asked.kind.is_stream and asked.after_event is not None and not run.body


def _what_is_wrong(asked: ClientRequest) -> str:
    whole = whole_stream(asked.request, asked.after_event)
    if whole.startswith(asked.body):
        return "no event" if not asked.body else _missing_end(asked.body)
    numbers, known = _id_lines(asked.body), _id_lines(whole)
    if numbers != known[: len(numbers)] and set(numbers) <= set(known):
        return f"events missing or repeated: {b' '.join(numbers)!r}"
    return f"foreign bytes: {_first_difference(asked.body, whole)!r}"


def _id_lines(stream: bytes) -> list[bytes]:
    """Return the complete ``id`` lines in order."""
    return [line for line in stream.split(b"\n")[:-1] if line.startswith(b"id: ")]


def _missing_end(body: bytes) -> str:
    if body.endswith(b"\n\n"):
        return "its last events missing"
    return f"half an event: {body[-30:]!r}"


def _first_difference(body: bytes, whole: bytes) -> bytes:
    same = 0
    while same < min(len(body), len(whole)) and body[same] == whole[same]:
        same += 1
    return body[same : same + 60]
