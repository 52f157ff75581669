"""A client that resumes its stream after each interruption, with runners that fail at random."""

import random

from features.support.monotonic_checks import PIECE, RunLog
from features.support.relaying import NOT_RUN_FIELD, RelayWorld, StandInCall, StandInExchange

from rainsail.relay.events import BLANK_LINE, parse_event

STREAM = "stream"
STEP_S = 0.05
MAX_REQUESTS = 60
BREAK_CHANCE = 0.08
MISSING_CHANCE = 0.05
SILENT_CHANCE = 0.03
LEAVE_CHANCE = 0.04
REFUSE_CHANCE = 0.1


class ResumingClient:
    """Reads one stream to its end; ``faults`` lists the violations found.

    Runners disconnect, also inside an event, skip an event (never the first or the last one),
    repeat the last one, stop sending or refuse. The client disconnects and resumes.
    """

    def __init__(self, seed: int, events: int, empty_chance: float = 0.0) -> None:
        """``empty_chance``: how often a run that is to resume ends in chunks without an event.

        With it, all answers are in chunks.
        """
        self.empty_runs = 0
        self._empty_chance = empty_chance
        self.runs = RunLog(events)
        self.requests = 0
        self.faults: list[str] = []
        self._events = events
        self._random = random.Random(seed)
        self._world = RelayWorld(3)
        self._world.put_route("stream", attempts=3, resumable=True)
        self._pieces: list[str] = []

    @property
    def text(self) -> str:
        """The data of all received events, one per line."""
        return "\n".join(self._pieces)

    def run(self) -> None:
        """Resume after the last event until the stream is complete."""
        while self.requests < MAX_REQUESTS:
            self.requests += 1
            exchange = self._world.request(after_event=len(self._pieces) or None)
            self._play(exchange)
            self._take(exchange)
            if self.faults or (exchange.ended and exchange.status == 200):
                break
        self.faults += self.runs.faults_of(STREAM, self.text)

    def _take(self, exchange: StandInExchange) -> None:
        *whole, _ = exchange.body.split(BLANK_LINE)
        for event in map(parse_event, whole):
            match = PIECE.fullmatch(event.data)
            expected = len(self._pieces) + 1
            if match is None or (event.number, int(match[1])) != (expected, expected):
                self.faults.append(f"{event.raw!r} came as event {expected}")
                return
            self._pieces.append(event.data)

    def _play(self, exchange: StandInExchange) -> None:
        """Run until the relay has ended the answer, or the client has disconnected."""
        while not exchange.ended and not exchange.aborted:
            self._world.clock.advance(STEP_S)
            if self._random.random() < LEAVE_CHANCE:
                exchange.left()
                return
            if self._world.pool.calls and not exchange.ended and not exchange.aborted:
                self._play_runner(self._world.last_call)

    def _play_runner(self, call: StandInCall) -> None:
        if call.cancelled or call.over:
            return
        if not hasattr(call, "next_event"):
            self._begin(call)
        elif self._random.random() < BREAK_CHANCE:
            self._break(call)
        elif self._random.random() < SILENT_CHANCE:
            call.over = True
        elif call.next_event > self._events:
            call.over = True
            call.listener.answer_ended()
        else:
            if self._random.random() < MISSING_CHANCE and 1 < call.next_event < self._events:
                call.next_event += 1
            call.next_event += 1
            call.listener.answer_data(self.runs.event(call.run_number, call.next_event - 1))

    def _begin(self, call: StandInCall) -> None:
        if self._random.random() < REFUSE_CHANCE:
            call.over = True
            call.answer(503, b"", (NOT_RUN_FIELD, b"1"))
            return
        after = int(call.field(b"after-event") or 0)
        call.run_number = self.runs.begin(STREAM, after)
        call.next_event = max(1, after + self._random.randint(0, 1))
        call.begin_stream(is_framed=bool(self._empty_chance))
        if self._empty_chance and after and self._random.random() < self._empty_chance:
            self.empty_runs += 1
            call.over = True
            call.listener.answer_ended()

    def _break(self, call: StandInCall) -> None:
        call.over = True
        if self._random.random() < 0.5:
            call.listener.answer_data(self.runs.event(call.run_number, call.next_event)[:9])
        call.listener.answer_failed("connection reset")
