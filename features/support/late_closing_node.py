"""Runs the adapter's program with a port that closes in a reactor turn after its queue is emptied.

That turn is long, as on a busy machine. Clients that connect meanwhile are reset.
"""

import runpy
import select
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT / "platform"), str(ROOT / "src")]

from rainsail.http import graceful_shutdown  # noqa: E402

LONG_TURN_S = 0.3


def close_later(port):
    """Empty the queue, and leave the port open for a turn."""
    while port.socket in select.select([port.socket], [], [], 0)[0]:
        port.doRead()
    time.sleep(LONG_TURN_S)
    port.stopListening()


graceful_shutdown.accept_and_close = close_later
graceful_shutdown.ignore_new_connections = lambda port: None
runpy.run_path(str(ROOT / "platform" / "serve.py"), run_name="__main__")
