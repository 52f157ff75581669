"""What this process uses and may use, as the kernel tells: resident memory and descriptors."""

import ctypes
import resource
from pathlib import Path

from rainsail.logs import logger

KIBIBYTE = 1024
M_MMAP_THRESHOLD = -3
"""glibc's number of the option, from ``malloc.h``."""
MMAP_THRESHOLD_BYTES = 128 * KIBIBYTE


def resident_bytes() -> int:
    """Return the resident memory of the process; its peak where the present one is not told."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIBIBYTE
    return pages * resource.getpagesize()


def descriptor_limit() -> int:
    """Return how many descriptors the process may have open; 0 without a limit."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 0 if limit == resource.RLIM_INFINITY else limit


def return_large_blocks() -> None:
    """Have the allocator give every large block back to the kernel when it is freed.

    By default glibc raises the size from which on it does so to that of the largest block freed so
    far; bodies then fragment the heap, which stays resident.
    """
    try:
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    except (AttributeError, OSError) as error:
        logger.bind(error=str(error)).info("allocator_not_tuned")
