"""A small fleet that ``rainsail up`` runs in a process of its own, on free loopback ports."""

import json
import os
import random
import resource
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

from features.support.command_line import PROGRAM, Finished, rainsail

from rainsail.control.operator_auth import key_hash
from rainsail.demo.site import free_ports

OPERATOR_KEY = "operator-of-the-test"
TENANT_KEYS = {"exporter": "key-of-the-exporter", "broker": "key-of-the-broker"}
SERVICE = "reports"
LIMIT_S = 40.0
POLL_S = 0.05
ENGINES = 2

SETTINGS = """
[process]
name = "test"
fleet = "test"
zone = "a"
data_folder = "{folder}"

[addresses]
status = "{status}"

[control]
operator_key_hashes = ["{operator_hash}"]

[weight_store]
bytes_per_second = 1e12

[caller_api]
max_request_bytes = 20000

[[replicas]]
name = "replica-1"
zone = "a"
address = "{internal}"
operator_api = "{operator}"

[[gateways]]
name = "gateway-1"
zone = "a"
caller_api = "{caller}"
"""

ENGINE = """
[[engines]]
runner = "reports-{number}"
zone = "a"
service = "reports"
address = "{address}"
"""


class EmbeddedFleet:
    """One replica, one gateway and two engines in a child process."""

    def __init__(self, folder: Path, descriptors: int = 0) -> None:
        """``descriptors`` is the process's limit on open ones, 0 for that of this process."""
        draw = random.Random(os.getpid())
        ports = [f"127.0.0.1:{port}" for port in free_ports(4 + ENGINES, draw)]
        self.status, self.operator, self.caller, internal, *self._engines = ports
        self.folder = folder
        text = SETTINGS.format(
            folder=folder / "data",
            status=self.status,
            operator_hash=key_hash(OPERATOR_KEY),
            internal=internal,
            operator=self.operator,
            caller=self.caller,
        )
        for number, address in enumerate(self._engines, start=1):
            text += ENGINE.format(number=number, address=address)
        settings = folder / "fleet.toml"
        settings.write_text(text)
        kept = {key: value for key, value in os.environ.items() if "RAINSAIL" not in key}

        def limit() -> None:
            if descriptors:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        self.process = subprocess.Popen(
            [*PROGRAM, "up", str(settings)],
            env=kept,
            preexec_fn=limit,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

    def wait_until(self, condition: Any, what: str) -> None:
        """Wait until a condition holds while the process lives."""
        limit_s = time.monotonic() + LIMIT_S
        while not condition():
            assert self.process.poll() is None, self.process.communicate()
            assert time.monotonic() < limit_s, f"never came true: {what}"
            time.sleep(POLL_S)

    def get(self, path: str, address: str = "", key: str = "") -> tuple[int, str]:
        """Return status and body of a GET; status 0 when nothing answers."""
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        request = urllib.request.Request(f"http://{address or self.status}{path}", headers=headers)
        try:
            with urllib.request.urlopen(request, timeout=LIMIT_S) as answer:
                return answer.status, answer.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, error.read().decode()
        except OSError:
            return 0, ""

    def is_ready(self) -> bool:
        """Tell whether the process says that it is ready."""
        return self.get("/readyz")[0] == 200

    def declare(self) -> None:
        """Apply tenants, a service and its runners by the command line, and wait for them."""
        self.wait_until(self.is_ready, "the process is ready")
        file = self.folder / "resources.json"
        file.write_text(json.dumps(self._resources()))
        applied = self.run("resource", "apply", str(file))
        assert applied.code == 0, applied
        self.wait_until(self._runners_ready, "the runners are ready")
        self.wait_until(self._gateway_knows, "the gateway knows the tenants")

    def run(self, *words: str, key: str = OPERATOR_KEY, address: str = "") -> Finished:
        """Run ``rainsail`` against the fleet's operator API (or another address)."""
        environment = {"RAINSAIL_ADDRESS": address or self.operator, "RAINSAIL_API_KEY": key}
        return rainsail(list(words), **environment)

    def _resources(self) -> list[dict[str, Any]]:
        limits = {"tokens_per_second": 1e6, "burst_tokens": 1e6}
        version = {"service": SERVICE, "weights": "weights/reports/v1", "weight_bytes": 1000}
        declared = [
            ("ModelVersion", "reports-v1", version),
            ("Service", SERVICE, {"active_version": "reports-v1", "runners": ENGINES}),
        ]
        for number, address in enumerate(self._engines, start=1):
            place = {"region": "local", "zone": "a", "service": SERVICE}
            runner = {"address": f"http://{address}", **place}
            declared.append(("Runner", f"reports-{number}", runner))
        for tenant, key in TENANT_KEYS.items():
            declared.append(("Tenant", tenant, {**limits, "key_hashes": [key_hash(key)]}))
        return [{"kind": kind, "name": name, "spec": spec} for kind, name, spec in declared]

    def _runners_ready(self) -> bool:
        body = self.get("/v1/resources/Runner", self.operator, OPERATOR_KEY)[1]
        runners = json.loads(body)["resources"]
        return all((runner["status"] or {}).get("ready") for runner in runners)

    def _gateway_knows(self) -> bool:
        key = list(TENANT_KEYS.values())[-1]
        return self.get("/v1/models", self.caller, key)[0] == 200

    def stop(self) -> None:
        """Stop as planned; the process has to end by itself with code 0."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        output, _ = self.process.communicate(timeout=LIMIT_S)
        assert self.process.returncode == 0, (self.process.returncode, output)


def shared_fleet(context: Any) -> EmbeddedFleet:
    """Return the feature's fleet; the first scenario starts it, the feature's end stops it."""
    fleet = getattr(context.feature, "embedded_fleet", None)
    if fleet is None:
        folder = tempfile.TemporaryDirectory()
        fleet = EmbeddedFleet(Path(folder.name))
        context.feature.embedded_fleet = fleet
        context.add_cleanup(folder.cleanup, layer="feature")
        context.add_cleanup(fleet.stop, layer="feature")
        fleet.declare()
    return fleet
