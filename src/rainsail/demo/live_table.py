"""The live table of the demonstration, shown only on a terminal."""

from typing import Any

from rich.console import Console
from rich.live import Live
from rich.table import Table
from twisted.internet.task import LoopingCall

from rainsail.demo.course import DemoCourse
from rainsail.experiment.history import AnswerReceived, JobAccepted, RequestSent

REFRESH_PERIOD_S = 0.5


class LiveTable:
    """Redraws while the course runs; does nothing when ``console`` is no terminal."""

    def __init__(self, course: DemoCourse, console: Console, clock: Any) -> None:
        self._course = course
        self._console = console
        self._live = Live(console=console, auto_refresh=False)
        self._loop = LoopingCall(self._redraw)
        self._loop.clock = clock

    def start(self) -> None:
        """Begin to draw."""
        if self._console.is_terminal:
            self._live.start()
            self._loop.start(REFRESH_PERIOD_S)

    def stop(self) -> None:
        """Draw a last time and leave the table standing."""
        if self._loop.running:
            self._redraw()
            self._loop.stop()
            self._live.stop()

    def _redraw(self) -> None:
        self._live.update(course_table(self._course), refresh=True)


def course_table(course: DemoCourse) -> Table:
    """Return the course as its users see it now."""
    history = course.history
    sent = len({event.request_id for event in history.of_type(RequestSent)})
    answers = history.of_type(AnswerReceived)
    whole = sum(1 for event in answers if not event.fault)
    accepted = sum(event.item_count for event in history.of_type(JobAccepted))
    completed = sum(client.completed for client in course.clients)
    table = Table("what", "now", title=f"rainsail demo, {course.phase}", min_width=60)
    table.add_row("online requests sent", str(sent))
    table.add_row("online requests answered whole", str(whole))
    table.add_row("batch jobs accepted", str(len(history.of_type(JobAccepted))))
    table.add_row("batch items accepted", str(accepted))
    table.add_row("batch items completed", str(completed))
    table.add_row("drained engine", course.drained_runner or "none yet")
    table.add_row("stopped replica", _replica_text(course))
    for name, engine in course.fleet.emulator.engines.items():
        running = sum(1 for record in engine.executions if record.ended_s is None)
        table.add_row(f"engine {name}", f"{running} running, {len(engine.executions)} begun")
    return table


def _replica_text(course: DemoCourse) -> str:
    if not course.stopped_replica:
        return "none yet"
    state = "down" if course.replica_down else "back"
    return f"{course.stopped_replica} ({state})"
