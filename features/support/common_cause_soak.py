"""A relaying fleet under random faults while several runners at once crash for their own reasons.

Beside fatal and sound requests there are jobs whose items share a sound part and run for seconds.
"""

from features.support.part_soak import PartSoak
from features.support.relayed_fleet import JOB_PATH
from features.support.relaying import HOST

from rainsail.jobs.messages import QueueLimit
from rainsail.quarantine.fingerprint import part_fingerprints
from rainsail.routing.facts import PromptPart
from rainsail.state.job_commands import ItemHeader, RelayedItem

ITEM_EVENTS = 40
ITEMS = 4
JOBS_PART = "jobs"
JOB_PERIOD_S = 5.0
SETTLES_S = 30.0
"""After this time without a fault all items that were accepted are done."""
MAX_CRASHES = 5


class CommonCauseSoak(PartSoak):
    """One random run; each second fault is a crash of several runners within 0.1 s."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._runners.item_events = ITEM_EVENTS
        self._jobs = 0
        self._faults = (*self._faults, *[self._crash_several] * len(self._faults))

    def _send_traffic(self, until_s: float) -> None:
        super()._send_traffic(until_s)
        self._hand_in_jobs(until_s - JOB_PERIOD_S)

    def _hand_in_jobs(self, until_s: float) -> None:
        fleet = self.fleet
        if fleet.clock.seconds() >= until_s:
            return
        self._jobs += 1
        name = f"job-{self._jobs}"
        items = tuple(
            RelayedItem(
                f"{name}-{number}",
                f"{JOB_PATH}/{number}",
                (ItemHeader("prompt", f"{JOBS_PART}:40,own{name}x{number}:9"),),
                f"item {name} {number}".encode(),
                10,
            )
            for number in range(ITEMS)
        )
        fleet.jobs[fleet.any_gateway()].submit(
            "", name, HOST, JOB_PATH, items, QueueLimit("/jobs/", 0)
        )
        fleet.clock.callLater(JOB_PERIOD_S, self._hand_in_jobs, until_s)

    def _crash_several(self) -> None:
        up = [each for each in self._runners.runners if each.is_up and not each.has_left]
        most = min(MAX_CRASHES, len(up) - 1)
        if most < 2:
            return
        chosen = self._draw.sample(up, self._draw.randint(2, most))
        down_s = self._draw.uniform(0.8, 4.0)
        self.counts["crashes of several runners"] += 1
        for runner in chosen:
            delay_s = self._draw.uniform(0.0, 0.1)
            self.fleet.clock.callLater(
                delay_s, self._runners.crash, runner, runner.incarnation, down_s
            )

    def _judge(self) -> None:
        super()._judge()
        prompt = (PromptPart(JOBS_PART, 1), PromptPart("own", 1))
        (part,) = part_fingerprints("", "model", "", prompt)
        held = {each.fingerprint for each in self.fleet.decided().requests if each.held}
        if part in held:
            self.violations.append("the part of the jobs is held")
        self.fleet.run_for(SETTLES_S)
        state = self.fleet.nodes[self.fleet.leader("storage")].role.state
        left = {job.job: sorted(job.unlisted) for job in state.jobs.values() if job.unlisted}
        given_up = sum(not each.done for job in state.jobs.values() for each in job.listed)
        self.counts["jobs accepted"] += len(state.jobs)
        if left or given_up:
            self.violations.append(f"items not done: {left}, given up: {given_up}")
