"""The executions of emulated engines as events of a history."""

from collections.abc import Iterable

from rainsail.emulator.engine import EmulatedEngine
from rainsail.experiment.history import (
    EngineFinished,
    EngineStarted,
    Event,
    History,
    history_in_order,
)


def with_executions(history: History, engines: Iterable[EmulatedEngine]) -> History:
    """Return a history with the engines' executions put in at their times."""
    events: list[Event] = list(history.events)
    for engine in engines:
        events += engine_events(engine)
    return history_in_order(events)


def engine_events(engine: EmulatedEngine) -> list[Event]:
    """Return what an engine began and finished; a batch item's id holds a slash."""
    events: list[Event] = []
    for record in engine.executions:
        batch = "/" in record.request_id
        started = EngineStarted(
            record.started_s, engine.runner, record.request_id, record.attempt_id, batch
        )
        events.append(started)
        if record.ended_s is not None:
            finished = EngineFinished(
                record.ended_s, engine.runner, record.request_id, record.attempt_id
            )
            events.append(finished)
    return events
