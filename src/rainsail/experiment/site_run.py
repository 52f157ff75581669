"""One policy on one site's trace: drives the callers and records what they see."""

from collections.abc import Callable, Sequence
from typing import TypeVar

from rainsail.batch.settings import BatchSettings
from rainsail.errors import Fault
from rainsail.experiment.measures import (
    CommittedBatch,
    LoadSample,
    OnlineRecord,
    RunRecord,
)
from rainsail.experiment.site_fleet import SiteFleet, SiteGateway
from rainsail.experiment.sites import SitePreset
from rainsail.experiment.workload import (
    JobArrival,
    OnlineArrival,
    SessionScript,
    Workload,
)
from rainsail.gateway.interface import Answer, CallerRequest
from rainsail.resources.specs import RequestClass
from rainsail.state.commands import Command, CommandOutcome, CommitResults, CommitVerdict
from rainsail.state.commands import ResultsCommitted as Committed

WARM_UP_S = 10.0
"""Seconds before the measured window: queues and estimates settle."""
SAMPLE_PERIOD_S = 0.25
"""Seconds between two samples of the engines."""
BURST = "burst"


Event = TypeVar("Event")


def _arrival_s(arrival: OnlineArrival) -> float:
    return arrival.at_s


def _session_s(session: SessionScript) -> float:
    return session.start_s


def _job_s(job: JobArrival) -> float:
    return job.at_s


class _OnlineCall:
    """One request's sink: notes the times at which its caller sees the answer."""

    def __init__(self, run: "SiteRun", record: OnlineRecord, session: "_SessionCaller | None"):
        self._run = run
        self._record = record
        self._session = session

    def on_part(self, text: str, tokens: int) -> None:
        """Note the first token and count."""
        if self._record.first_token_s is None:
            self._record.first_token_s = self._run.seen_by_caller_s()
        self._record.tokens += tokens

    def on_answer(self, answer: Answer) -> None:
        """Note the end."""
        self._record.ended_s = self._run.seen_by_caller_s()
        if self._session is not None:
            self._session.answered()

    def on_fault(self, fault: Fault) -> None:
        """Note the refusal; a session ends with it."""
        self._record.refused = str(fault)


class _SessionCaller:
    """Plays one session's turns, each a think time after the answer before."""

    def __init__(self, run: "SiteRun", script: SessionScript, gateway: SiteGateway) -> None:
        self._run = run
        self._script = script
        self._gateway = gateway
        self._next = 0

    def answered(self) -> None:
        """Schedule the next turn."""
        if self._next < len(self._script.turns):
            delay_s = self._script.turns[self._next].think_s + self._run.client_delay_s
            self._run.fleet.clock.callLater(delay_s, self.send_turn)

    def send_turn(self) -> None:
        """Send the next turn."""
        turn = self._script.turns[self._next]
        self._next += 1
        request = CallerRequest(
            request_id=f"{self._script.name}/{self._next}",
            tenant=self._script.tenant,
            model=self._script.service,
            prompt=turn.prompt,
            max_tokens=turn.max_tokens,
            class_=RequestClass.ONLINE,
            session=self._script.name,
        )
        self._run.send(self._gateway, "turn", request, self)


class SiteRun:
    """Runs a workload under one policy."""

    def __init__(
        self,
        site: SitePreset,
        seed: int,
        workload: Workload,
        duration_s: float,
        settings: BatchSettings,
    ) -> None:
        self.client_delay_s = site.client_delay_s
        self.fleet = SiteFleet(site, seed, workload, settings)
        self.record = RunRecord(settings.policy, WARM_UP_S, duration_s)
        self._site = site
        self._workload = workload
        self._sent = 0
        self._turns: dict[int, int] = {}
        self._burst_records: dict[str, OnlineRecord] = {}
        self._apply = self.fleet.control.apply
        self.fleet.control.apply = self._apply_and_note  # type: ignore[method-assign]

    def run(self) -> RunRecord:
        """Run to the end of the window and return the record."""
        clock = self.fleet.clock
        self._play(self._workload.arrivals, _arrival_s, self._arrive)
        self._play(self._workload.sessions, _session_s, self._begin_session)
        self._play(self._workload.jobs, _job_s, self._submit)
        clock.callLater(self.record.window_start_s, self._sample)
        clock.run_until(self.record.window_start_s)
        generated_before, prefill_before = self._engine_totals()
        clock.run_until(self.record.window_end_s)
        generated, prefill = self._engine_totals()
        self.record.generated_tokens = generated - generated_before
        self.record.prefill_tokens = prefill - prefill_before
        self._finish()
        return self.record

    def _play(
        self, events: Sequence[Event], at_s: Callable[[Event], float], act: Callable[[Event], None]
    ) -> None:
        """Act on events in order of time; one timer at a time keeps the clock's queue short."""
        ordered = sorted(events, key=at_s)

        def next_one(index: int) -> None:
            if index > 0:
                act(ordered[index - 1])
            if index < len(ordered):
                delay_s = at_s(ordered[index]) - self.fleet.clock.seconds()
                self.fleet.clock.callLater(max(0.0, delay_s), next_one, index + 1)

        next_one(0)

    def _begin_session(self, script: SessionScript) -> None:
        _SessionCaller(self, script, self._gateway(script.zone)).send_turn()

    def seen_by_caller_s(self) -> float:
        """Return when what leaves the gateway now reaches its caller."""
        return self.fleet.clock.seconds() + self.client_delay_s

    def _engine_totals(self) -> tuple[int, int]:
        meters = [engine.meter for engine in self.fleet.model_engines]
        generated = sum(meter.tokens_generated for meter in meters)
        return generated, sum(meter.prefill_tokens for meter in meters)

    # --- callers --------------------------------------------------------------------------

    def _gateway(self, zone: int) -> SiteGateway:
        """Return the zone's gateways in turn."""
        number = self._turns.get(zone, 0)
        self._turns[zone] = number + 1
        count = self._site.gateways_per_zone
        return self.fleet.gateways[zone * count + number % count]

    def _arrive(self, arrival: OnlineArrival) -> None:
        self._sent += 1
        request = CallerRequest(
            request_id=f"request-{self._sent}",
            tenant=arrival.tenant,
            model=arrival.service,
            prompt=arrival.prompt,
            max_tokens=arrival.max_tokens,
            class_=arrival.class_,
        )
        self.send(self._gateway(arrival.zone), arrival.kind, request, None)

    def send(
        self,
        gateway: SiteGateway,
        kind: str,
        request: CallerRequest,
        session: _SessionCaller | None,
    ) -> None:
        """Send a request over the client's link."""
        record = OnlineRecord(kind, gateway.zone, self.fleet.clock.seconds())
        self.record.online.append(record)
        if kind == BURST:
            self._burst_records[request.request_id] = record
        sink = _OnlineCall(self, record, session)
        self.fleet.clock.callLater(self.client_delay_s, gateway.core.submit, request, sink)

    def _submit(self, job: JobArrival) -> None:
        self._gateway(job.zone).intake.submit(
            job.tenant, job.job_key, job.service, job.items, self.fleet.clock.seconds() + 86_400.0
        )

    # --- what is noted --------------------------------------------------------------------

    def _apply_and_note(self, command: Command, group: int = 0) -> CommandOutcome:
        outcome = self._apply(command, group)
        if isinstance(command, CommitResults) and isinstance(outcome, Committed):
            taken = [
                result
                for result, verdict in zip(command.results, outcome.verdicts, strict=True)
                if verdict is CommitVerdict.COMMITTED
            ]
            tokens = sum(result.generated_tokens for result in taken)
            now_s = self.fleet.clock.seconds()
            self.record.commits.append(CommittedBatch(now_s, len(taken), tokens))
        return outcome

    def _sample(self) -> None:
        fleet = self.fleet
        online = 0
        batch = 0
        for gateway in fleet.gateways:
            batch += gateway.dispatcher.running_items
        for engine in fleet.model_engines:
            online += engine.meter.running
        self.record.samples.append(
            LoadSample(
                fleet.clock.seconds(),
                max(0, online - batch),
                batch,
                fleet.state.backlog(self._site.model_service),
            )
        )
        fleet.clock.callLater(SAMPLE_PERIOD_S, self._sample)

    def _finish(self) -> None:
        dispatchers = [gateway.dispatcher for gateway in self.fleet.gateways]
        self.record.preempted = sum(each.counts.preempted for each in dispatchers)
        for engine in self.fleet.model_engines:
            for execution in engine.executions:
                burst = self._burst_records.pop(execution.request_id, None)
                if burst is not None and self.record.in_window(burst.sent_s):
                    reached_s = burst.sent_s + self.client_delay_s
                    self.record.step_aside_s.append(execution.started_s - reached_s)
