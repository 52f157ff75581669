"""Measure what one line of a relaying node's log costs in processor time.

    python tools/log_cost.py

Prints microseconds a line, the ring included; the line is that of a completed request, and goes to
the null device.
"""

import os
import time

from rainsail.event_log import RING_RECORDS, EventLog
from rainsail.logs import LogRing, logger

LINES = 20_000
WARM_UP_LINES = 2_000
MICROSECONDS_PER_S = 1e6


def write_one() -> None:
    """Log one completed request, as a gateway does."""
    logger.bind(
        request="594b0d78fdae1f03",
        route="r-abc",
        table=12,
        runners="i-d4f9da8ed5",
        sends=1,
        reason="",
        first_ms=25,
        took_ms=720,
    ).info("request_completed")


def main() -> None:
    """Measure and print."""
    nowhere = os.open(os.devnull, os.O_WRONLY)
    log = EventLog(
        "gateway-1",
        "gateway",
        lines_per_s=LINES * 1000,
        put=lambda line: os.write(nowhere, line),
        ring=LogRing(None, RING_RECORDS),
    )
    logger.remove()
    logger.add(log.write, level="INFO", format="{message}", backtrace=False, diagnose=False)
    for _ in range(WARM_UP_LINES):
        write_one()
    begun_s = time.process_time()
    for _ in range(LINES):
        write_one()
    took_s = time.process_time() - begun_s
    print(f"{took_s / LINES * MICROSECONDS_PER_S:.1f} us a line")


if __name__ == "__main__":
    main()
