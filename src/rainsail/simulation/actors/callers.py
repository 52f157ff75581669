"""Simulated callers: send requests, put answers together, send again after a lost answer."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from rainsail.emulator.answers import expected_answer
from rainsail.errors import Fault, Outcome
from rainsail.experiment.history import (
    ANSWER_LOST,
    CONNECTION_LOST,
    AnswerReceived,
    History,
    RequestSent,
)
from rainsail.gateway.interface import Answer, CallerRequest, RequestHandle
from rainsail.resources.specs import RequestClass
from rainsail.simulation.actors.links import UserLink
from rainsail.simulation.clock import VirtualTimer

ANSWER_TIMEOUT_S = 45.0
RESEND_DELAY_S = 1.0
MOST_SENDS = 4


@dataclass(frozen=True, slots=True)
class SimulatedRequest:
    """A request as a caller plans it, before it is known which gateway takes it."""

    request: CallerRequest
    class_: RequestClass
    home_gateway: str


class SimulatedCaller:
    """One request of one caller, through all its sends."""

    def __init__(
        self,
        planned: SimulatedRequest,
        gateways: tuple[str, ...],
        link: UserLink,
        history: History,
    ) -> None:
        self._planned = planned
        self._gateways = gateways
        self._link = link
        self._history = history
        self._sends = 0
        self.send: _Send | None = None
        self.finished = False

    def start(self) -> None:
        """Send the request to the caller's home gateway."""
        self._send_to(self._planned.home_gateway)

    def connection_lost(self, gateway: str) -> None:
        """The gateway has died: an open send to it is lost."""
        if self.send is not None and self.send.gateway == gateway:
            self.send.lose(CONNECTION_LOST)

    def _send_to(self, gateway: str) -> None:
        self._sends += 1
        self.send = _Send(self, f"{self._planned.request.request_id}#{self._sends}", gateway)
        self.send.start()

    def ended(self, repeat_after_s: float | None) -> None:
        """A send has ended; go again after a pause when there is reason to and a try left."""
        self.send = None
        if repeat_after_s is None or self._sends >= MOST_SENDS:
            self.finished = True
            return
        self._link.clock.callLater(repeat_after_s, self._send_to, self._next_gateway())

    def _next_gateway(self) -> str:
        home = self._gateways.index(self._planned.home_gateway)
        return self._gateways[(home + self._sends) % len(self._gateways)]

    @property
    def planned(self) -> SimulatedRequest:
        """The request."""
        return self._planned

    @property
    def link(self) -> UserLink:
        """The way to the gateways."""
        return self._link

    @property
    def history(self) -> History:
        """Where to record."""
        return self._history


class _Send:
    """One send of a request: the sink of its answer."""

    def __init__(self, caller: SimulatedCaller, send_id: str, gateway: str) -> None:
        self._caller = caller
        self.send_id = send_id
        self.gateway = gateway
        self._parts: list[str] = []
        self._first_part_s = -1.0
        self._done = False
        self._answer_lost = False
        self._handle: RequestHandle | None = None
        self._timer: VirtualTimer | None = None

    def start(self) -> None:
        link = self._caller.link
        planned = self._caller.planned
        request = planned.request
        text = expected_answer(request.model, request.prompt, request.max_tokens, request.seed)
        self._caller.history.record(
            RequestSent(
                link.clock.seconds(),
                request.request_id,
                self.send_id,
                self.gateway,
                request.tenant,
                planned.class_,
                text,
            )
        )
        self._timer = link.clock.callLater(ANSWER_TIMEOUT_S, self.lose, "timed out")
        link.deliver(self._arrive)

    def _arrive(self) -> None:
        if self._done:
            return
        node = self._caller.link.gateway(self.gateway)
        if node is None:
            self._finish(Outcome.NOT_RUN, "connection refused", False, RESEND_DELAY_S)
            return
        sink = _GatewaySide(self)
        self._handle = node.core.submit(self._caller.planned.request, sink)

    def take_part(self, text: str) -> None:
        """A part has reached the caller."""
        if self._done:
            return
        if self._first_part_s < 0:
            self._first_part_s = self._caller.link.clock.seconds()
        self._parts.append(text)

    def take_answer(self, answer: Answer) -> None:
        """The end of a whole answer has reached the caller."""
        if not self._parts:
            self._parts.append(answer.text)
        self._finish(answer.outcome, "", False, None)

    def take_fault(self, fault: Fault) -> None:
        """The end of an answer that is not whole has reached the caller."""
        repeat = fault.retry_after_s or RESEND_DELAY_S
        can_repeat = fault.outcome == Outcome.NOT_RUN
        self._finish(fault.outcome, str(fault), False, repeat if can_repeat else None)

    def lose(self, why: str) -> None:
        """The caller gives this send up."""
        if self._done:
            return
        if self._handle is not None and self._caller.link.gateway(self.gateway) is not None:
            self._caller.link.deliver(self._handle.abandon)
        loss = ANSWER_LOST if self._answer_lost else why
        self._finish(Outcome.UNKNOWN, loss, True, RESEND_DELAY_S)

    def deliver(self, call: Callable[[], None]) -> None:
        """Carry something from the gateway's side to the caller's."""
        self._caller.link.deliver(call)

    def loses_answer(self) -> bool:
        """Draw whether the final answer gets lost on its way."""
        return self._caller.link.loses_answer()

    def lose_later(self) -> None:
        """The final answer got lost: the caller notices that the connection is gone."""
        self._answer_lost = True
        self._caller.link.clock.callLater(RESEND_DELAY_S, self.lose, ANSWER_LOST)

    def _finish(self, outcome: Outcome, fault: str, lost: bool, repeat_s: float | None) -> None:
        if self._done:
            return
        self._done = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._caller.history.record(
            AnswerReceived(
                self._caller.link.clock.seconds(),
                self._caller.planned.request.request_id,
                self.send_id,
                outcome,
                "".join(self._parts),
                self._first_part_s,
                fault,
                lost,
            )
        )
        self._caller.ended(repeat_s)


class _GatewaySide:
    """The ResponseSink at the gateway's end of a send."""

    def __init__(self, send: _Send) -> None:
        self._send = send

    def on_part(self, text: str, tokens: int) -> None:
        """Pass a part on."""
        self._send.deliver(lambda: self._send.take_part(text))

    def on_answer(self, answer: Answer) -> None:
        """Pass the answer on, unless it gets lost."""
        if self._send.loses_answer():
            self._send.lose_later()
            return
        self._send.deliver(lambda: self._send.take_answer(answer))

    def on_fault(self, fault: Fault) -> None:
        """Pass the fault on, unless it gets lost."""
        if self._send.loses_answer():
            self._send.lose_later()
            return
        self._send.deliver(lambda: self._send.take_fault(fault))


@dataclass(frozen=True, slots=True)
class CallerMix:
    """The mean time between requests, and their shape, of one kind of traffic."""

    name: str
    model: str
    class_: RequestClass
    mean_gap_s: float
    prompt_characters: int
    max_tokens: int


class CallerTraffic:
    """Starts callers at random times, the same for the same seed."""

    def __init__(
        self,
        mixes: tuple[CallerMix, ...],
        tenants: tuple[str, ...],
        gateways: tuple[str, ...],
        link: UserLink,
        history: History,
        draw: random.Random,
    ) -> None:
        self._mixes = mixes
        self._tenants = tenants
        self._gateways = gateways
        self._link = link
        self._history = history
        self._draw = draw
        self._started = 0
        self._stopped = False
        self.callers: list[SimulatedCaller] = []

    def start(self) -> None:
        """Start every kind of traffic."""
        for mix in self._mixes:
            self._schedule(mix)

    def stop(self) -> None:
        """Start no further callers; those under way go on."""
        self._stopped = True

    def settled(self) -> bool:
        """Tell whether no caller waits for an answer or for its next send."""
        self.callers = [caller for caller in self.callers if not caller.finished]
        return not self.callers

    def connection_lost(self, gateway: str) -> None:
        """Tell every caller that a gateway has died."""
        self.callers = [caller for caller in self.callers if not caller.finished]
        for caller in list(self.callers):
            caller.connection_lost(gateway)

    def _schedule(self, mix: CallerMix) -> None:
        gap_s = self._draw.expovariate(1 / mix.mean_gap_s)
        self._link.clock.callLater(gap_s, self._start_caller, mix)

    def _start_caller(self, mix: CallerMix) -> None:
        if self._stopped:
            return
        self._started += 1
        caller = SimulatedCaller(self._plan(mix), self._gateways, self._link, self._history)
        self.callers.append(caller)
        caller.start()
        self._schedule(mix)

    def _plan(self, mix: CallerMix) -> SimulatedRequest:
        number = self._started
        subject = f"{mix.name} {number} asks about unit {self._draw.randrange(10_000)}. "
        shared = f"Instructions for {mix.name}: answer briefly and exactly. " * 4
        prompt = (shared + subject * 40)[: mix.prompt_characters]
        request = CallerRequest(
            request_id=f"{mix.name}-{number}",
            tenant=self._draw.choice(self._tenants),
            model=mix.model,
            prompt=prompt,
            max_tokens=max(1, int(mix.max_tokens * self._draw.uniform(0.5, 1.5))),
            class_=mix.class_,
            seed=number,
        )
        return SimulatedRequest(replace(request), mix.class_, self._draw.choice(self._gateways))
