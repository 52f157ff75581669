"""Runs one case: its exit code says whether the rule was broken, held, or could not be tried."""

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.common2.fleet import CouldNotRunError
from review.common2.record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 112.0


def has_trouble() -> bool:
    """Tell whether the disruption is to be played; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def logs_folder() -> Path | None:
    """Return where to keep the logs of the processes, if anywhere: ``KEEP_LOGS=FOLDER``."""
    folder = os.environ.get("KEEP_LOGS")
    return Path(folder) if folder else None


def play(folder: Path, case: Callable[[Record], Awaitable[bool]]) -> None:
    """Play a case, which returns whether the rule was broken, and exit."""
    record = Record(folder / "record.txt")
    record.note(f"TROUBLE={os.environ.get('TROUBLE', '1')}")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), TIME_LIMIT_S))
        code = BROKEN if broken else HELD
        record.conclude("the rule was broken" if broken else "the rule held")
    except (CouldNotRunError, TimeoutError) as error:
        record.conclude(f"the case could not run: {error!r}")
        code = COULD_NOT_RUN
    except Exception:
        record.conclude(f"the case could not run:\n{traceback.format_exc()}")
        code = COULD_NOT_RUN
    record.write()
    sys.stdout.flush()
    os._exit(code)
