"""The time of a bare sync of the disk under a folder, to hold other times against."""

import os
import random
import time
from pathlib import Path

PAYLOAD_BYTES = 300
SYNC_SAMPLES = 300


def bare_sync_times(folder: Path, samples: int = SYNC_SAMPLES) -> list[float]:
    """Return seconds of write + fsync of one record's bytes, without threads or framing."""
    path = folder / "bare-sync"
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    data = random.Random(1).randbytes(PAYLOAD_BYTES)
    times_s = []
    try:
        for _ in range(samples):
            began_s = time.perf_counter()
            os.write(descriptor, data)
            os.fsync(descriptor)
            times_s.append(time.perf_counter() - began_s)
    finally:
        os.close(descriptor)
        path.unlink()
    return times_s
