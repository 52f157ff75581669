"""A fleet that speaks the product's own interface: every node in one process, on loopback."""

import json
import subprocess
import tempfile
from pathlib import Path
from typing import Any

from features.support.command_line import PROGRAM, ROOT
from features.support.loopback import LoopbackNetwork
from features.support.platform_stand_in import StandInPlatform, wait_until
from rig.daemon import die_with_parent

EXAMPLES = ROOT / "examples" / "relaying"


class OwnFleet:
    """Runs ``rainsail node`` on the example's files with addresses of this process's own.

    ``added`` is settings text that ends each file.
    """

    def __init__(self, added: str = "") -> None:
        self._added = added
        self._folder = tempfile.TemporaryDirectory()
        self._network = LoopbackNetwork()
        self.octet = self._network.octet
        files = [self._own_copy(path) for path in sorted(EXAMPLES.glob("*.toml"))]
        log = Path(self._folder.name) / "log"
        with log.open("wb") as output:
            self.process = subprocess.Popen(
                [*PROGRAM, "node", *files],
                cwd=self._folder.name,
                stdout=output,
                stderr=subprocess.STDOUT,
                preexec_fn=die_with_parent,
            )
        self.log = log

    def _own_copy(self, path: Path) -> str:
        copy = Path(self._folder.name) / path.name
        text = path.read_text().replace("127.30.", f"127.{self.octet}.")
        copy.write_text(text + self._added)
        return str(copy)

    def address(self, third: int, last: int) -> str:
        """Return an address of the example, as it is in this run."""
        return f"127.{self.octet}.{third}.{last}"

    def call(
        self, ip: str, port: int, method: str, path: str, body: Any = None, **headers: str
    ) -> tuple[int, bytes]:
        """Make one call; status 0 stands for no answer."""
        content = body if isinstance(body, bytes) else b""
        if body is not None and not isinstance(body, bytes):
            content = json.dumps(body).encode()
        call = StandInPlatform.call
        status, answer, _ = call(self, ip, port, method, path, content, **headers)  # type: ignore[arg-type]
        return status, answer

    def stop(self) -> int:
        """Ask the process to end and return its exit code."""
        self.process.terminate()
        return self.process.wait(timeout=30)

    def close(self) -> None:
        """End the process if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self._network.close()
        self._folder.cleanup()


__all__ = ["OwnFleet", "wait_until"]
