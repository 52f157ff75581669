"""Runs the demonstration from its options to its outcome."""

import importlib
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result
from rich.console import Console

from rainsail.assembly.embedded import EmbeddedFleet
from rainsail.assembly.process import Process
from rainsail.assembly.roles import fresh_random
from rainsail.demo.course import DONE, DemoCourse, DemoOptions
from rainsail.demo.journal import AcceptedJournal
from rainsail.demo.live_table import LiveTable
from rainsail.demo.outcome import DemoOutcome
from rainsail.demo.site import NoFreePorts, make_site
from rainsail.errors import Fault, FaultCode
from rainsail.experiment.history import write_history
from rainsail.wire.protocol import transport_fingerprint

STEP = "demo.run"
FLEET_FOLDER = "fleet"


def run_demo(
    folder: Path, options: DemoOptions, history_file: Path | None = None
) -> Result[DemoOutcome, Fault]:
    """Run the fleet and its users on a data folder, judge what they saw.

    With ``history_file`` the recorded history is written there as well.
    """
    journal = AcceptedJournal(folder, transport_fingerprint())
    opened = journal.open()
    if opened.is_error():
        return Error(opened.error)
    try:
        return _run(folder, journal, options, history_file)
    finally:
        journal.close()


def _run(
    folder: Path, journal: AcceptedJournal, options: DemoOptions, history_file: Path | None
) -> Result[DemoOutcome, Fault]:
    try:
        site = make_site(folder / FLEET_FOLDER, fresh_random())
    except NoFreePorts as error:
        return Error(Fault(FaultCode.UNAVAILABLE, STEP, str(error)))
    reactor: Any = importlib.import_module("twisted.internet.reactor")
    process = Process(site.settings, reactor)
    fleet = EmbeddedFleet(site.settings, reactor)
    fleet.add_to(process)
    course = DemoCourse(site, fleet, process, journal, options, reactor)
    process.roles.append(course)
    table = LiveTable(course, Console(), reactor)
    table.start()
    try:
        process.run()
    finally:
        table.stop()
    if course.failure or course.phase != DONE:
        detail = course.failure or f"stopped while {course.phase}"
        return Error(Fault(FaultCode.UNAVAILABLE, STEP, detail))
    history = course.merged_history()
    if history_file is not None:
        write_history(history_file, history)
    return Ok(course.outcome(history))
