"""Runners on in-memory connections, which send the drawn answers byte for byte."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import replace

import h11
from features.support.relay_soak.answers import AnswerDrawer, Asked, RunnerAnswer
from features.support.relay_soak.history import (
    ConnectionLoss,
    Crash,
    Ending,
    History,
    Kind,
    RunnerRun,
)
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from rainsail.http.headers import header_number, header_text
from rainsail.simulation.clock import VirtualClock

REFUSED_CONNECTIONS_SHARE = 0.03
CLIENT_HAS = b"client-has"
"""Header with the event after which the client itself resumes."""
THINKS_S = (0.0, 0.01, 0.05, 0.3)
PAUSE_SHARE = 0.1
"""The share of answers that pause once, where runners pause."""
LONG_PAUSES_S = (0.9, 1.1, 1.4)
"""Around the time after which a gateway tries another runner."""


class SoakRunner:
    """One runner: accepts connections, and records its requests and answers."""

    def __init__(
        self,
        name: str,
        clock: VirtualClock,
        history: History,
        draw: random.Random,
        drawer: AnswerDrawer,
        pauses: random.Random | None = None,
        down_s: Callable[[], float] = lambda: 0.0,
        came_back: Callable[["SoakRunner"], None] = lambda runner: None,
    ) -> None:
        """``pauses`` draws which answers pause for long, and where; None: none does.

        ``down_s`` draws how long the address refuses behind a crash, ``came_back`` is called then.
        """
        self._pauses = pauses
        self._down_s = down_s
        self._came_back = came_back
        self._is_down = False
        self.connections: list[RunnerConnection] = []
        """The open ones."""
        self.name = name
        self.clock = clock
        self._history = history
        self._draw = draw
        self._drawer = drawer

    def accept(self) -> Protocol | None:
        """Accept a connection, or sometimes refuse it."""
        if self._is_down or self._draw.random() < REFUSED_CONNECTIONS_SHARE:
            loss = ConnectionLoss(self.name, self.clock.seconds(), is_refusal=True)
            self._history.losses.append(loss)
            return None
        return RunnerConnection(self)

    def crash(self) -> None:
        """End the process: all its connections end in order at once, as a kernel closes them."""
        now, down_s = self.clock.seconds(), self._down_s()
        self._is_down = True
        self._history.crashes.append(Crash(self.name, now, now + down_s))
        for connection in list(self.connections):
            connection.end_with_process()
        self.clock.callLater(down_s, self._start_again)

    def _start_again(self) -> None:
        self._is_down = False
        self._came_back(self)

    def record_crash(self, place: int) -> None:
        """Record that a run, by its place in the history, was under way at a crash."""
        runs = self._history.runs
        runs[place] = replace(runs[place], crashed_s=self.clock.seconds())

    def lost(self, place: int, due: list[int]) -> None:
        """Record that the end of an answer ends its connection, with the answers ``due`` there.

        Runs are named by their places in the history.
        """
        runs = self._history.runs
        loss = ConnectionLoss(self.name, self.clock.seconds(), is_refusal=False, run=runs[place])
        self._history.losses.append(loss)
        self._history.unsent += [runs[each] for each in due]

    def thinks_s(self) -> float:
        """Draw the time until the first byte of an answer."""
        return self._draw.choice(THINKS_S)

    @property
    def may_pause(self) -> bool:
        """Whether some answers pause for long; a runner without room says so at once then."""
        return self._pauses is not None

    def pauses_before(self, answer: RunnerAnswer) -> tuple[int, float]:
        """Draw a piece before which the runner pauses, and for how long; 0 s: it does not."""
        if not answer.ran or self._pauses is None or self._pauses.random() >= PAUSE_SHARE:
            return 0, 0.0
        piece = self._pauses.randrange(len(answer.pieces) or 1)
        return piece, self._pauses.choice(LONG_PAUSES_S)

    def answer(self, head: h11.Request) -> tuple[RunnerAnswer, int]:
        """Draw the answer to a request, and record it; return its place in the history, too."""
        fields = tuple(head.headers.raw_items())
        after = header_text(fields, b"last-event-id")
        kind = Kind(head.target.decode().split("/")[1])
        request = header_text(fields, b"rainsail-request")
        taken_up = after != header_text(fields, CLIENT_HAS)
        asked = Asked(request, kind, int(after) if after else None, taken_up)
        answer = self._drawer.answer(asked)
        self._history.runs.append(
            RunnerRun(
                request,
                self.name,
                asked.after_event,
                answer.ran,
                answer.status,
                answer.framing,
                answer.body,
                answer.whole,
                answer.ending,
                self.clock.seconds(),
                header_number(fields, b"rainsail-deadline-s"),
                answer.states_early_end,
            )
        )
        return answer, len(self._history.runs) - 1


class RunnerConnection(Protocol):
    """A connection to a runner: one request after the other, answers as raw bytes, in order."""

    def __init__(self, runner: SoakRunner) -> None:
        self._runner = runner
        self._gone = False
        self._playing = False
        self._due: deque[tuple[RunnerAnswer, int]] = deque()
        self._current: int | None = None
        """The place in the history of the run that is being answered."""
        self._pause_at, self._pause_s = 0, 0.0
        self._await_request()

    def _await_request(self) -> None:
        self._http = h11.Connection(h11.SERVER)
        self._head: h11.Request | None = None

    def connectionMade(self) -> None:
        """Count it with the open ones."""
        self._runner.connections.append(self)

    def end_with_process(self) -> None:
        """Close in order, since the runner's process ends; what is under way is not answered."""
        self._gone = True
        under_way = [] if self._current is None else [self._current]
        for place in (*under_way, *(place for _, place in self._due)):
            self._runner.record_crash(place)
        self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Read a request; answer it once it is complete."""
        self._http.receive_data(data)
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                self._head = event
            elif isinstance(event, h11.EndOfMessage):
                assert self._head is not None
                self._due.append(self._runner.answer(self._head))
                self._await_request()
                self._play_next()
                return
            elif not isinstance(event, h11.Data):
                return

    def connectionLost(self, reason: Failure = None) -> None:  # type: ignore[assignment]
        """Stop sending."""
        self._gone = True
        self._runner.connections.remove(self)

    def _play_next(self) -> None:
        """Begin the next answer once the one before it has been sent."""
        if self._due and not self._playing:
            self._playing = True
            answer, self._current = self._due.popleft()
            self._pause_at, self._pause_s = self._runner.pauses_before(answer)
            thinks_s = self._runner.thinks_s()
            refuses_at_once = self._runner.may_pause and not answer.ran
            self._play_later(0.0 if refuses_at_once else thinks_s, answer, 0)

    def _play_later(self, delay_s: float, answer: RunnerAnswer, number: int) -> None:
        """Send a piece after a delay, and a long pause if one was drawn before it."""
        if number == self._pause_at:
            delay_s += self._pause_s
        self._runner.clock.callLater(delay_s, self._play, answer, number)

    def _play(self, answer: RunnerAnswer, number: int) -> None:
        """Send one piece and schedule the next one; after the last one, end as drawn."""
        if self._gone:
            return
        if number == answer.crash_at:
            self._runner.crash()
        elif number < len(answer.pieces):
            self.transport.write(answer.pieces[number])
            self._play_later(answer.pause_s, answer, number + 1)
        else:
            self._end(answer.ending)

    def _end(self, ending: Ending) -> None:
        if ending in (Ending.CLOSE, Ending.RESET):
            assert self._current is not None
            self._runner.lost(self._current, [place for _, place in self._due])
        if ending != Ending.SILENT:
            self._current = None
        if ending == Ending.CLOSE:
            self.transport.loseConnection()
        elif ending == Ending.RESET:
            self.transport.abortConnection()
        elif ending == Ending.KEEP:
            self._playing = False
            self._play_next()
