"""Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""

import os
import signal
import sys
import threading
import traceback
from collections.abc import Callable
from pathlib import Path

from common.fleet import CannotRunError, Fleet
from common.record import Record
from common.runners import Runners

LIMIT_S = 115.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

Play = Callable[[Fleet, Runners, bool], bool]
"""Plays a case, with or without its disruption; tells whether the rule was broken."""


def run_case(folder: Path, play: Play, fronts: int, names_version: bool = False) -> int:
    """Play a case with its own fleet and runners; returns the exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    fleet = Fleet(record, fronts)
    runners = Runners(fleet, record, names_version)
    watchdog = threading.Timer(LIMIT_S, _give_up, (fleet,))
    watchdog.daemon = True
    watchdog.start()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    code = COULD_NOT_RUN
    try:
        record.note("case", trouble=trouble)
        fleet.start_all()
        code = BROKEN if play(fleet, runners, trouble) else HELD
    except CannotRunError as error:
        record.note("could_not_run", reason=error)
    except Exception:
        record.note("could_not_run", reason=traceback.format_exc())
    finally:
        watchdog.cancel()
        fleet.close()
        runners.close()
        record.note("verdict", code=code)
        record.close()
    return code


def _give_up(fleet: Fleet) -> None:
    """End everything when the time of a case is over."""
    fleet.record.note("could_not_run", reason="the time of the case is over")
    fleet.close()
    os._exit(COULD_NOT_RUN)
