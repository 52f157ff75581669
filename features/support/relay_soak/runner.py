"""Runners on in-memory connections, which send the drawn answers byte for byte."""

import random
from collections import deque

import h11
from features.support.relay_soak.answers import AnswerDrawer, Asked, RunnerAnswer
from features.support.relay_soak.history import (
    ConnectionLoss,
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
    ) -> None:
        """``pauses`` draws which answers pause for long, and where; None: none does."""
        self._pauses = pauses
        self.name = name
        self.clock = clock
        self._history = history
        self._draw = draw
        self._drawer = drawer

    def accept(self) -> Protocol | None:
        """Accept a connection, or sometimes refuse it."""
        if self._draw.random() < REFUSED_CONNECTIONS_SHARE:
            loss = ConnectionLoss(self.name, self.clock.seconds(), is_refusal=True)
            self._history.losses.append(loss)
            return None
        return RunnerConnection(self)

    def lost(self, run: RunnerRun, due: list[RunnerRun]) -> None:
        """Record that the end of an answer ends its connection, with the answers ``due`` there."""
        loss = ConnectionLoss(self.name, self.clock.seconds(), is_refusal=False, run=run)
        self._history.losses.append(loss)
        self._history.unsent += due

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

    def answer(self, head: h11.Request) -> tuple[RunnerAnswer, RunnerRun]:
        """Draw the answer to a request, and record it."""
        fields = tuple(head.headers.raw_items())
        after = header_text(fields, b"last-event-id")
        kind = Kind(head.target.decode().split("/")[1])
        request = header_text(fields, b"rainsail-request")
        taken_up = after != header_text(fields, CLIENT_HAS)
        asked = Asked(request, kind, int(after) if after else None, taken_up)
        answer = self._drawer.answer(asked)
        run = RunnerRun(
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
        )
        self._history.runs.append(run)
        return answer, run


class RunnerConnection(Protocol):
    """A connection to a runner: one request after the other, answers as raw bytes, in order."""

    def __init__(self, runner: SoakRunner) -> None:
        self._runner = runner
        self._gone = False
        self._playing = False
        self._due: deque[tuple[RunnerAnswer, RunnerRun]] = deque()
        self._run: RunnerRun | None = None
        """The run whose answer is being sent, or was sent last."""
        self._pause_at, self._pause_s = 0, 0.0
        self._await_request()

    def _await_request(self) -> None:
        self._http = h11.Connection(h11.SERVER)
        self._head: h11.Request | None = None

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

    def _play_next(self) -> None:
        """Begin the next answer once the one before it has been sent."""
        if self._due and not self._playing:
            self._playing = True
            answer, self._run = self._due.popleft()
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
        if number < len(answer.pieces):
            self.transport.write(answer.pieces[number])
            self._play_later(answer.pause_s, answer, number + 1)
        else:
            self._end(answer.ending)

    def _end(self, ending: Ending) -> None:
        if ending in (Ending.CLOSE, Ending.RESET):
            assert self._run is not None
            self._runner.lost(self._run, [run for _, run in self._due])
        if ending == Ending.CLOSE:
            self.transport.loseConnection()
        elif ending == Ending.RESET:
            self.transport.abortConnection()
        elif ending == Ending.KEEP:
            self._playing = False
            self._play_next()
