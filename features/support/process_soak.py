"""Random faults against the adapter's real processes on loopback, under client load.

Faults are drawn from a seed and injected sequentially. At most one machine with a disk is down or
catching up at a time, except when all controllers or all nodes are killed, which keeps the disks
intact. ``soak_history`` checks the result; its checks do not depend on timing.
"""

import json
import random
import signal
import subprocess
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from features.support.persistent_connections import PersistentConnections
from features.support.platform_stand_in import (
    CLIENT_PORT,
    CONTROL_PORT,
    LIMIT_S,
    LOOK_PERIOD_S,
    ZONE_DRAIN_S,
    StandInPlatform,
    client_fields,
    wait_until,
)
from features.support.soak_history import (
    Answer,
    Call,
    History,
    Kill,
    Page,
    PlannedStop,
    Read,
    unfinished,
    violations,
)
from features.support.stand_in_faults import RunnerFaults

CLIENTS = 3
RUNNERS = 4
JOB_ITEMS = 4
JOB_SHARE = 0.08
HEARTBEAT_PERIOD_S = 0.4
ORDER_PERIOD_S = 0.7
CLIENT_PAUSE_S = 0.01
LEAVE_SHARE = 1 / 7
"""Share of the answers after which a client closes its connection."""
AWAY_S = (0.2, 1.5)
FROZEN_S = (0.3, 3.0)


@dataclass(frozen=True)
class SoakResult:
    """Result of a soak: the faults in order, the violations and counts of what was served."""

    faults: tuple[str, ...]
    violations: tuple[str, ...]
    answers: int
    served: int
    versions: int
    jobs: int
    runner_faults: dict[str, int]
    stops: int


class ProcessSoak:
    """One soak over one platform."""

    def __init__(
        self,
        platform: StandInPlatform,
        seed: int,
        clients: int = CLIENTS,
        runners: int = RUNNERS,
    ) -> None:
        self._platform = platform
        self._runners = runners
        self._order_period_s = ORDER_PERIOD_S
        self._random = random.Random(seed)
        self._history = History()
        self._lock = threading.Lock()
        self._over = threading.Event()
        self._faults: list[str] = []
        self._stopped_by = ""
        self._runner_faults = RunnerFaults(seed)
        self._client_seeds = [self._random.random() for _ in range(clients)]
        self._strikes: tuple[Callable[[], str], ...] = (
            self._kill_one,
            self._kill_one,
            self._freeze_one,
            self._freeze_one,
            self._stop_one,
            self._wipe_one,
            self._kill_controllers,
            self._kill_all,
            self._runner_leaves,
            self._runners_misbehave,
            self._drain_a_zone,
            self._drain_a_zone,
        )

    def run(self, faults: int) -> SoakResult:
        """Inject this many faults, repair everything, and check the history."""
        platform = self._platform
        for _ in range(self._runners):
            self._add_runner()
        platform.configure()
        wait_until(self._all_ready, "every gateway ready")
        workers = [threading.Thread(target=self._client, args=(s,)) for s in self._client_seeds]
        workers += [threading.Thread(target=loop) for loop in (self._beat, self._operate)]
        for worker in workers:
            worker.start()
        try:
            self._strike(faults)
            self._settle()
        except AssertionError as error:
            # Violations found up to the failure are reported as well.
            self._stopped_by = str(error)
        finally:
            self._over.set()
            for worker in workers:
                worker.join()
        self._read_to_the_end()
        return self._result()

    def _strike(self, faults: int) -> None:
        """Inject this many faults sequentially."""
        for _ in range(faults):
            self._faults.append(self._random.choice(self._strikes)())

    def _result(self) -> SoakResult:
        history = self._history
        runners = self._platform.runners
        history.runs = [request for runner in runners for request in runner.ran]
        history.broken_off = {request for runner in runners for request in runner.broken_off}
        found = [*violations(history)]
        if self._stopped_by:
            found.append(f"the soak stopped: {self._stopped_by}")
        found += [
            f"{request} ran at {runner.runner} with a key or without its tenant"
            for runner in self._platform.runners
            for request in runner.misnamed
        ]
        found += [
            f"{request} ran at {runner.runner} while its zone was drained"
            for runner in self._platform.runners
            for request in runner.ran_in_drain
        ]
        newest = {page.job: page for page in history.pages}
        found += [
            f"unfinished job: {job}, last read as {newest.get(job)}" for job in unfinished(history)
        ]
        served = sum(answer.status == 200 for answer in history.answers)
        return SoakResult(
            tuple(self._faults),
            tuple(found),
            len(history.answers),
            served,
            len(history.acknowledged),
            len(history.accepted),
            dict(self._runner_faults.struck),
            len(history.stops),
        )

    # --- faults --------------------------------------------------------------------------

    def _names(self, role: str = "") -> list[str]:
        return sorted(name for name in self._platform.nodes if name.startswith(role))

    def _between(self, bounds: tuple[float, float]) -> float:
        return self._random.uniform(*bounds)

    def _away(
        self, names: list[str], wiped: bool = False, draw: random.Random | None = None
    ) -> None:
        """Kill nodes, and restart them after a random time."""
        away_s = (draw or self._random).uniform(*AWAY_S)
        for name in names:
            self._history.kills.append(Kill(name, time.monotonic()))
            self._platform.kill(name)
        time.sleep(away_s)
        for name in names:
            if wiped:
                self._platform.wipe(name)
            self._platform.start(name)

    def _kill_one(self) -> str:
        name = self._random.choice(self._names())
        self._settle()
        self._away([name])
        return f"kill {name}"

    def _freeze_one(self) -> str:
        name = self._random.choice(self._names())
        self._settle()
        self._freeze_for(name, self._between(FROZEN_S))
        return f"freeze {name}"

    def _freeze_for(self, name: str, seconds: float) -> None:
        self._platform.signal(name, signal.SIGSTOP)
        time.sleep(seconds)
        self._platform.signal(name, signal.SIGCONT)

    def _stop_one(self) -> str:
        name = self._random.choice(self._names())
        self._settle()
        self._stop(name)
        return f"stop {name}"

    def _stop(self, name: str) -> None:
        """Stop a node as planned and restart it.

        A process that gets the signal before it has started is ended by it, as nothing is open yet.
        """
        wait_until(lambda: self._platform.is_up(name), f"{name} is up")
        begun_s = time.monotonic()
        process = self._platform.nodes[name].process
        assert process is not None
        self._platform.terminate(name)
        try:
            process.wait(LIMIT_S)
        except subprocess.TimeoutExpired as error:
            raise AssertionError(f"{name} does not end") from error
        stop = PlannedStop(name, begun_s, time.monotonic(), process.returncode)
        self._history.stops.append(stop)
        self._platform.start(name)

    def _wipe_one(self) -> str:
        name = self._random.choice([*self._names("controller"), *self._names("storage")])
        self._settle()
        self._away([name], wiped=True)
        return f"wipe {name}"

    def _kill_controllers(self) -> str:
        self._away(self._names("controller"))
        return "kill all controllers"

    def _kill_all(self) -> str:
        self._away(self._names())
        return "kill all"

    def _runner_leaves(self) -> str:
        staying = [each for each in self._platform.runners if not each.leaving]
        runner = self._random.choice(staying)
        runner.leaving = True
        self._platform.beat(runner, "draining")
        self._add_runner()
        return f"{runner.runner} leaves"

    def _add_runner(self) -> None:
        self._platform.add_runner().faults = self._runner_faults

    def _runners_misbehave(self) -> str:
        refuse, break_after = self._random.randrange(4), self._random.choice((None, 0, 2))
        for runner in self._platform.runners:
            runner.refuse = refuse
            runner.break_after = break_after
        return f"runners refuse {refuse} and break off after {break_after}"

    def _drain_a_zone(self) -> str:
        """Drain a zone during another fault, for longer than nodes may take to apply the order."""
        zone = self._random.choice(sorted({runner.zone for runner in self._platform.runners}))
        wait_until(lambda: self._platform.drain_zone(zone) == 200, f"{zone} drained")
        fault = self._random.choice((self._kill_one, self._kill_controllers, self._kill_all))()
        time.sleep(ZONE_DRAIN_S + self._between(AWAY_S))
        wait_until(lambda: self._platform.end_drain(zone) == 200, f"the end of the drain of {zone}")
        return f"drain {zone} ({fault})"

    def _settle(self) -> None:
        """Wait until everything is back and both groups tolerate a loss again."""
        wait_until(
            lambda: all(map(self._borne, ("controller", "storage"))), "groups that bear a loss"
        )
        wait_until(self._all_ready, "every gateway ready")

    def _borne(self, role: str) -> bool:
        return any(self._platform.metric(n, "group_losses_borne") >= 1 for n in self._names(role))

    def _all_ready(self) -> bool:
        return all(map(self._platform.is_ready, self._names("gateway")))

    # --- work ----------------------------------------------------------------------------

    def _client(self, seed: float) -> None:
        draw = random.Random(seed)
        connections = PersistentConnections(random.Random(seed), LEAVE_SHARE)
        number = 0
        while not self._over.wait(CLIENT_PAUSE_S):
            number += 1
            name = f"{int(seed * 1e9)}-{number}"
            gateway = draw.choice(self._names("gateway"))
            if draw.random() < JOB_SHARE:
                self._hand_in(gateway, f"job-{name}")
            else:
                kind = draw.choice(("safe", "once", "stream"))
                self._request(connections, gateway, f"r-{name}", kind)
            self._read_some_job(gateway, draw)
        connections.close()

    def _request(
        self, connections: PersistentConnections, gateway: str, request: str, kind: str
    ) -> None:
        sent = request.encode()
        ip, fields = self._platform.nodes[gateway].ip, client_fields(Request_Id=request)
        result = connections.call(ip, CLIENT_PORT, "POST", f"/{kind}/{request}", sent, fields)
        signed = "Response-Stamp" in result.fields
        answer = Answer(request, kind, result.status, sent, result.body, signed)
        call = Call(
            request, gateway, result.is_answered, result.is_first, result.sent_s, result.ended_s
        )
        with self._lock:
            self._history.answers.append(answer)
            if result.is_sent:
                self._history.calls.append(call)

    def _hand_in(self, gateway: str, job: str) -> None:
        while not self._over.is_set():
            if self._platform.submit(gateway, job, JOB_ITEMS) == 202:
                with self._lock:
                    self._history.accepted[job] = JOB_ITEMS
                return
            time.sleep(CLIENT_PAUSE_S)

    def _read_some_job(self, gateway: str, draw: random.Random) -> None:
        with self._lock:
            jobs = list(self._history.accepted)
        if jobs:
            self._read_job(gateway, draw.choice(jobs))

    def _read_job(self, gateway: str, job: str) -> None:
        status, body, _ = self._platform.client(gateway, "GET", f"/api/lots/{job}?after=0")
        page = Page(job, status)
        if status == 200:
            read = json.loads(body)
            results = tuple((each["id"], each["state"], each["text"]) for each in read["results"])
            page = Page(job, status, read["total"], results)
        with self._lock:
            self._history.pages.append(page)

    def _beat(self) -> None:
        while not self._over.wait(HEARTBEAT_PERIOD_S):
            for runner in list(self._platform.runners):
                self._platform.beat(runner, "draining" if runner.leaving else "ready")

    def _operate(self) -> None:
        """Send configurations, each until it is acknowledged, and read them at any controller."""
        version = self._platform.version
        draw = random.Random(self._client_seeds[0])
        while not self._over.wait(self._order_period_s):
            version += draw.randrange(1, 4)
            body = self._platform.configuration(version)
            if self._platform.control("POST", "/api/Config.Replace", body)[0] == 200:
                self._history.acknowledged.append((time.monotonic(), version))
            self._read_configuration(draw.choice(self._names("controller")))

    def _read_configuration(self, controller: str) -> None:
        begun_s = time.monotonic()
        ip = self._platform.nodes[controller].ip
        status, body, _ = self._platform.call(ip, CONTROL_PORT, "GET", "/api/Config.Read")
        if status == 200:
            self._history.reads.append(Read(begun_s, json.loads(body)["version"]))

    def _read_to_the_end(self) -> None:
        """Read the configuration and the results of every job after the faults have ended.

        The checks report a job that does not complete.
        """
        reads = len(self._history.reads)

        def read() -> bool:
            self._read_configuration(self._names("controller")[0])
            return len(self._history.reads) > reads

        wait_until(read, "a read of the configuration")

        until_s = time.monotonic() + LIMIT_S
        while unfinished(self._history) and time.monotonic() < until_s:
            for job in unfinished(self._history):
                self._read_job(self._names("gateway")[0], job)
            time.sleep(LOOK_PERIOD_S)
