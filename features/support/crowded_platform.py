"""A platform whose machines have little memory, and how its processes bear a crowd of clients."""

import base64
import json
from pathlib import Path
from typing import Any

from features.support.crowd_clients import BODY_BYTES, Crowd
from features.support.platform_stand_in import CONTROL_PORT, StandInPlatform, wait_until

from rainsail.http.server import HttpLimits

KIBIBYTE = 1024
MEGABYTE = 1_000_000
CONFIGURATION = "/api/Config.Read"
IDLE_TIMEOUT_MS = 15_000
ITEMS_OF_A_LARGE_JOB = 4
EVENT_PAUSE_S = 0.8
"""Streams last for some seconds, and no runner counts as silent."""


class CrowdedPlatform(StandInPlatform):
    """Nodes with the memory of the smallest deployment, and the limits of its operators."""

    memory_mb = {"gateway": 88, "controller": 88, "storage": 99}

    def __init__(self, *counts: int, descriptors: int = 0) -> None:
        self.descriptors = {"gateway": descriptors}
        self.most_descriptors = 0
        """The most open descriptors that were seen at a gateway."""
        self._requests = 0
        super().__init__(*counts)

    def configuration(self, version: int) -> dict[str, Any]:
        """Return the configuration with limits on what clients may send."""
        limits = {
            "maxHeaderBytes": 16 * KIBIBYTE,
            "maxBodyBytes": BODY_BYTES,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": IDLE_TIMEOUT_MS,
        }
        return {**super().configuration(version), "limits": limits}

    def add_large_runner(self) -> None:
        """Start a runner that runs many requests at once."""
        runner = self.add_runner()
        runner.slots = 200
        runner.event_pause_s = EVENT_PAUSE_S
        limits: HttpLimits = runner.server.limits
        limits.idle_timeout_s = 600.0
        self.beat(runner)

    # --- what the processes hold ---------------------------------------------------------

    def is_alive(self, name: str) -> bool:
        """Tell whether the process that was started first still runs."""
        return self.nodes[name].running

    def peak_mb(self, name: str) -> float:
        """Return the most memory that a process has had resident, in MB."""
        return self._status(name, "VmHWM") * KIBIBYTE / MEGABYTE

    def resident_mb(self, name: str) -> float:
        """Return the memory that a process has resident, in MB."""
        return self._status(name, "VmRSS") * KIBIBYTE / MEGABYTE

    def _status(self, name: str, field: str) -> int:
        process = self.nodes[name].process
        assert process is not None and process.poll() is None, f"{name} has ended"
        for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
            if line.startswith(field):
                return int(line.split()[1])
        raise AssertionError(f"no {field}")

    def count_descriptors(self, name: str) -> int:
        """Return how many descriptors a process has open."""
        process = self.nodes[name].process
        assert process is not None
        return len(list(Path(f"/proc/{process.pid}/fd").iterdir()))

    # --- ordinary callers ----------------------------------------------------------------

    def ordinary(self, gateway: str, body: bytes = b"hello") -> None:
        """Make an ordinary request, again after each refusal, until it is answered."""

        def answered() -> bool:
            self._requests += 1
            request = f"ordinary-{self._requests}"
            answer = self.client(gateway, "POST", "/safe/1", body, Request_Id=request)
            self.most_descriptors = max(self.most_descriptors, self.count_descriptors(gateway))
            return answer[0] == 200 and answer[1] == b"echo " + body

        wait_until(answered, f"an ordinary request answered at {gateway}")

    def is_controlled(self) -> bool:
        """Tell whether the operator can read the configuration at every controller."""
        names = [name for name in self.nodes if name.startswith("controller")]
        answers = [
            self.call(self.nodes[name].ip, CONTROL_PORT, "GET", "/api/Config.Read")
            for name in names
        ]
        return all(status == 200 for status, _, _ in answers)

    def large_job(self, job: str, size: int) -> bytes:
        """Return the body of a job, of about ``size`` bytes."""
        body = base64.b64encode(b"b" * (size * 3 // 4 // ITEMS_OF_A_LARGE_JOB)).decode()
        items = [
            {
                "id": f"{job}-{number}",
                "path": f"/jobs/{job}/{number}",
                "headers": {"Model": "m"},
                "body": body,
                "tokens": 10,
            }
            for number in range(ITEMS_OF_A_LARGE_JOB)
        ]
        return json.dumps({"items": items}).encode()


def settle(crowd: Crowd) -> None:
    """Wait until each client of a crowd has done what it came for."""
    wait_until(lambda: crowd.settled, "a crowd that has done what it came for")
