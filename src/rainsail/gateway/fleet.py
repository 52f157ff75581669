"""A gateway's view of every runner: load, cache, own work, draining, ejection, ownership."""

from bisect import insort
from collections.abc import Callable
from random import Random

from rainsail.batch.interface import RunnerView
from rainsail.control.interface import ConfigReader
from rainsail.engine.interface import CacheEvent, EndReason, EngineClient, LoadReport
from rainsail.gateway import runner_state
from rainsail.gateway.ejection import may_put_out
from rainsail.gateway.eligibility import EligibleCache, EligibleRunners
from rainsail.gateway.engine_feed import EngineFeed
from rainsail.gateway.ownership import live_gateways, rendezvous_owner
from rainsail.gateway.runner_state import RunnerState
from rainsail.gateway.settings import GatewaySettings
from rainsail.resources.specs import EventType, Kind, Resource, RunnerSpec, WatchEvent
from rainsail.runtime.clock import Clock

ChangeListener = Callable[[str], None]


class RunnerFleet:
    """Follows Runner and Gateway resources and the engines' own reports."""

    def __init__(
        self,
        gateway: str,
        zone: str,
        config: ConfigReader,
        engine: EngineClient,
        clock: Clock,
        random: Random,
        settings: GatewaySettings,
    ) -> None:
        self.gateway = gateway
        self.zone = zone
        self._config = config
        self._engine = engine
        self._clock = clock
        self._random = random
        self._settings = settings.fleet
        self._runners: dict[str, RunnerState] = {}
        self._feeds: dict[str, EngineFeed] = {}
        self._by_service: dict[str, list[RunnerState]] = {}
        self._eligible = EligibleCache(zone)
        self._live_gateways: dict[str, list[str]] = {}
        self._watched_s = 0.0
        self._listeners: list[ChangeListener] = []
        self._restart_listeners: list[ChangeListener] = []
        self._stopped = False

    def start(self) -> None:
        """Read the resources, then follow them."""
        self._config.on_event(self._on_event)
        for resource in self._config.list_resources(Kind.RUNNER):
            self._put(resource)
        self._watched_s = self._clock.seconds()
        self._clock.callLater(self._settings.watch_period_s, self._watch)

    def stop(self) -> None:
        """Close every subscription."""
        self._stopped = True
        for feed in self._feeds.values():
            feed.stop()
        self._feeds.clear()

    # --- reading ------------------------------------------------------------------------------

    def runner(self, name: str) -> RunnerState | None:
        """Return what is known of a runner."""
        return self._runners.get(name)

    def runners(self) -> list[RunnerState]:
        """Return every runner in name order."""
        return [self._runners[name] for name in sorted(self._runners)]

    def runners_of(self, service: str) -> list[RunnerState]:
        """Return the runners of a service in name order, usable or not."""
        return self._by_service.get(service, [])

    def eligible(self, service: str, batch: bool, adapter: str = "") -> EligibleRunners:
        """Return the runners of a service that may get new work now."""
        now_s = self._clock.seconds()
        return self._eligible.get(self.runners_of(service), service, now_s, batch, adapter)

    def owned_runners(self) -> list[RunnerState]:
        """Return the runners that this gateway owns, in name order."""
        return [state for state in self.runners() if state.owned]

    def usable(self, runner: str) -> bool:
        """Tell whether new work may be sent to a runner now."""
        state = self._runners.get(runner)
        return state is not None and runner_state.takes_new_work(state, self._clock.seconds())

    def leaving(self, runner: str) -> bool:
        """Tell whether a runner is draining, gone or silent."""
        state = self._runners.get(runner)
        return state is None or runner_state.is_leaving(state, self._clock.seconds())

    def online_arrival_rate(self, runner: str) -> float:
        """Return the estimated online requests per second sent to a runner from here."""
        state = self._runners.get(runner)
        return state.arrivals_per_s(self._clock.seconds()) if state else 0.0

    def last_online_session_end(self, runner: str) -> float | None:
        """Return when the last turn of a session ended on a runner (gateway clock)."""
        state = self._runners.get(runner)
        return state.last_online_session_end_s if state else None

    def view(self, runner: str) -> RunnerView:
        """Return what the batch policies see of a runner; KeyError when it does not exist."""
        state = self._runners[runner]
        now_s = self._clock.seconds()
        report = state.report
        return RunnerView(
            runner=runner,
            now_s=now_s,
            slots=state.spec.batch_slots,
            online_running=state.online_running,
            online_waiting=report.waiting if report else 0,
            batch_running=state.batch_running,
            reported_running=report.running if report else 0,
            reported_running_low=report.running_low if report else 0,
            reported_waiting=report.waiting if report else 0,
            kv_tokens_used=report.kv_tokens_used if report else 0,
            kv_tokens_total=report.kv_tokens_total if report else 0,
            report_age_s=state.report_age_s(now_s),
            online_arrivals_per_s=state.arrivals_per_s(now_s),
        )

    def on_change(self, listener: ChangeListener) -> None:
        """Call ``listener`` with a runner's name at each change of its view."""
        self._listeners.append(listener)

    def on_restart(self, listener: ChangeListener) -> None:
        """Call ``listener`` with a runner's name when its engine has restarted."""
        self._restart_listeners.append(listener)

    # --- own work -----------------------------------------------------------------------------

    def attempt_started(self, runner: str, attempt_id: str, batch: bool, tokens: int) -> None:
        """Count an attempt that is sent to a runner; ``tokens`` is the most it may generate."""
        state = self._runners.get(runner)
        if state is None:
            return
        state.attempt_started(attempt_id, batch, tokens, self._clock.seconds())
        self._changed(runner)

    def attempt_ended(
        self,
        runner: str,
        attempt_id: str,
        reason: EndReason | None = None,
        session: bool = False,
    ) -> None:
        """Count an attempt's end; LOST counts against the runner, STOP and LENGTH for it."""
        state = self._runners.get(runner)
        if state is None:
            return
        now_s = self._clock.seconds()
        if state.attempt_ended(attempt_id, now_s) is None:
            return
        if session:
            state.last_online_session_end_s = now_s
        if reason in (EndReason.STOP, EndReason.LENGTH):
            state.ejection.succeeded()
        elif reason == EndReason.LOST:
            self._failed(state, now_s)
        self._changed(runner)

    def _failed(self, state: RunnerState, now_s: float) -> None:
        if not state.ejection.failed(self._settings):
            return
        peers = self.runners_of(state.spec.service)
        out = sum(1 for each in peers if each is not state and each.ejection.is_out(now_s))
        if may_put_out(len(peers), out, self._settings.max_ejected_fraction):
            state.ejection.put_out(now_s, self._random, self._settings)
            self._eligible.changed()

    # --- following ----------------------------------------------------------------------------

    def _on_event(self, event: WatchEvent) -> None:
        kind = event.resource.key.kind
        if kind == Kind.RUNNER:
            self._eligible.changed()
            if event.type == EventType.DELETED:
                self._delete(event.resource.key.name)
            else:
                self._put(event.resource)
        elif kind == Kind.GATEWAY:
            self._live_gateways.clear()
            for state in self.runners():
                self._assign_owner(state)

    def _put(self, resource: Resource) -> None:
        if self._stopped or not isinstance(resource.spec, RunnerSpec):
            return
        name = resource.key.name
        state = self._runners.get(name)
        if state is None:
            state = RunnerState(resource, self._clock.seconds(), self._settings)
            self._runners[name] = state
            self._index(state)
        else:
            self._update(state, resource)
        feed = self._feeds.get(name)
        if feed is None or feed.address != resource.spec.address:
            self._open_feed(state)
        self._assign_owner(state)
        self._changed(name)

    def _update(self, state: RunnerState, resource: Resource) -> None:
        service = state.spec.service
        state.update_resource(resource)
        if state.spec.service != service:
            self._by_service[service].remove(state)
            self._index(state)

    def _delete(self, name: str) -> None:
        state = self._runners.pop(name, None)
        if state is not None:
            self._by_service[state.spec.service].remove(state)
        feed = self._feeds.pop(name, None)
        if feed is not None:
            feed.stop()
        self._changed(name)

    def _index(self, state: RunnerState) -> None:
        insort(self._by_service.setdefault(state.spec.service, []), state, key=_name)

    def _open_feed(self, state: RunnerState) -> None:
        old = self._feeds.pop(state.name, None)
        if old is not None:
            old.stop()
        feed = EngineFeed(
            state.spec.address,
            self._engine,
            self._clock,
            self._random,
            self._settings,
            on_load=lambda report: self._take_report(state, report),
            on_cache=lambda event: self._take_cache_event(state, event),
            on_lost=state.cache.lost,
        )
        self._feeds[state.name] = feed
        feed.start()

    def _take_report(self, state: RunnerState, report: LoadReport) -> None:
        last = state.report
        if not state.take_report(report, self._clock.seconds()):
            return
        if last is None or usability(last) != usability(report):
            self._eligible.changed()
        self._changed(state.name)
        if last is not None and last.incarnation != report.incarnation:
            for listener in list(self._restart_listeners):
                listener(state.name)

    def _take_cache_event(self, state: RunnerState, event: CacheEvent) -> None:
        state.cache.apply(event)

    def _assign_owner(self, state: RunnerState) -> None:
        zone = state.spec.zone
        live = self._live_gateways.get(zone)
        if live is None:
            live = live_gateways(self._config.list_resources(Kind.GATEWAY), zone)
            self._live_gateways[zone] = live
        owned = rendezvous_owner(state.name, live) == self.gateway
        if owned != state.owned:
            state.owned = owned
            self._changed(state.name)

    def _watch(self) -> None:
        """Look for runners that fell silent; what this process slept through is excused."""
        if self._stopped:
            return
        now_s = self._clock.seconds()
        pause_s = now_s - self._watched_s - 2.0 * self._settings.watch_period_s
        self._watched_s = now_s
        for state in self.runners():
            if pause_s > 0.0:
                state.excuse_silence(pause_s, now_s)
            silent = state.is_silent(now_s)
            if silent != state.silent:
                state.silent = silent
                self._eligible.changed()
                self._changed(state.name)
            if silent:
                self._feeds[state.name].renew_when_older(self._settings.report_timeout_s)
        self._clock.callLater(self._settings.watch_period_s, self._watch)

    def _changed(self, runner: str) -> None:
        for listener in list(self._listeners):
            listener(runner)


def usability(report: LoadReport) -> tuple[str, bool, str, tuple[str, ...]]:
    """Return the part of a report that decides whether a runner may get work."""
    return report.incarnation, report.draining, report.loaded_version, report.adapters


def _name(state: RunnerState) -> str:
    return state.name
