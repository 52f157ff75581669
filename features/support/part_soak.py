"""A relaying fleet under random faults while prompts come with parts that crash runners."""

from features.support.quarantine_soak import (
    CONNECTED_AFTER_S,
    LATE_RUNS_ALLOWED,
    OTHERS_PER_S,
    QuarantineSoak,
)

from rainsail.quarantine.fingerprint import is_of_part, part_fingerprints
from rainsail.routing.facts import PromptPart

CRASHES_COUNTED = 5
SHARED_PART = "shared"


class PartSoak(QuarantineSoak):
    """One random run; no two requests are alike, and sound ones share parts with fatal ones."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._parts = [f"dead{number}" for number in range(self._draw.randint(1, 2))]
        self._runners.fatal_bodies = set()
        self._runners.fatal_parts = set(self._parts)
        self._sent = 0

    def _send_traffic(self, until_s: float) -> None:
        """Send prompts with a fatal part, and sound ones; both share their first part."""
        for number in range(3):
            self._send_repeatedly(f"common{number}", 3 / OTHERS_PER_S, until_s)
        for part in self._parts:
            self._send_repeatedly(part, self._draw.uniform(0.3, 2.0), until_s)

    def _send_repeatedly(self, part: str, period_s: float, until_s: float) -> None:
        fleet = self.fleet
        if fleet.clock.seconds() >= until_s:
            return
        self._sent += 1
        prompt = f"{SHARED_PART}:172,{part}:40,own{self._sent}:9"
        fleet.request(fleet.any_gateway(), f"body {self._sent}".encode(), prompt=prompt)
        fleet.clock.callLater(period_s, self._send_repeatedly, part, period_s, until_s)

    def _judge(self) -> None:
        for part in self._parts:
            self._judge_part(part)
        held = {each.fingerprint for each in self.fleet.decided().requests if each.held}
        prompt = tuple(PromptPart(part, 1) for part in (*self._parts, "own"))
        others = held - set(part_fingerprints("", "model", "", prompt))
        of_parts = sum(map(is_of_part, others))
        if others:
            self.violations.append(f"held without fault: {len(others)}, {of_parts} of them parts")
        self.counts["requests"] += len(self.fleet.exchanges)

    def _judge_part(self, part: str) -> None:
        crashes = sorted(self._runners.fatal_crashes.get(part.encode(), []))
        self.counts["crashes under fatal parts"] += len(crashes)
        if len(crashes) < CRASHES_COUNTED:
            return
        self.counts["fatal parts judged"] += 1
        allowed_until_s = crashes[CRASHES_COUNTED - 1] + CONNECTED_AFTER_S
        runs = [run for run in self._runners.fatal_runs if run.part == part]
        late = [run for run in runs if run.at_s > allowed_until_s]
        counted = [run for run in late if self._is_connected(run.sender, run.at_s)]
        self.counts["late runs"] += len(counted)
        if len(counted) > LATE_RUNS_ALLOWED:
            first = [(round(run.at_s, 2), run.sender) for run in counted[:4]]
            self.violations.append(f"{part} ran {len(counted)} times late: {first}")
