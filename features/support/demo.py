"""The demonstration as a process of its own, and histories and journals to judge."""

import json
import os
import signal
import subprocess
import time
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from features.support.command_line import PROGRAM, ROOT
from features.support.process_account import process_account

from rainsail.demo.journal import JOURNAL_NAME, AcceptedJournal, NotedItem, NotedJob
from rainsail.errors import Outcome
from rainsail.experiment.history import (
    AnswerReceived,
    DrainDeclared,
    EngineStarted,
    Event,
    History,
    JobAccepted,
    JobRead,
    RequestSent,
    ResultRead,
    RunEnded,
    history_in_order,
)
from rainsail.resources.specs import RequestClass

LIMIT_S = 90.0
POLL_S = 0.02
LATE = "reports-2"


class DemoProcess:
    """``rainsail demo`` in a process group of its own."""

    def __init__(self, folder: Path, seconds: float) -> None:
        self.journal = folder / JOURNAL_NAME
        command = [*PROGRAM, "demo", f"--data={folder}"]
        self._process = subprocess.Popen(
            [*command, f"--seconds={seconds}"],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def wait_for_noted_jobs(self) -> None:
        """Wait until accepted jobs are noted."""
        limit_s = time.monotonic() + LIMIT_S
        while not self.noted_items():
            assert self._process.poll() is None, self._process.communicate()
            assert time.monotonic() < limit_s, f"no accepted job was noted: {self._account()}"
            time.sleep(POLL_S)

    def noted_items(self) -> int:
        """Count the items of the whole lines of the journal."""
        if not self.journal.exists():
            return 0
        lines = self.journal.read_text().split("\n")[:-1]
        return sum(len(json.loads(line).get("job", {}).get("items", ())) for line in lines)

    def kill(self) -> None:
        """Kill by SIGKILL."""
        os.kill(self._process.pid, signal.SIGKILL)
        self._process.communicate()
        assert self._process.returncode == -signal.SIGKILL

    def finish(self) -> tuple[int, str, str]:
        """Wait for the end; return exit code, stdout and stderr."""
        try:
            stdout, stderr = self._process.communicate(timeout=LIMIT_S)
        except subprocess.TimeoutExpired as error:
            account = self._account()
            self._process.kill()
            raise AssertionError(f"it has not ended: {account}") from error
        return self._process.returncode, stdout, stderr

    def _account(self) -> str:
        """Tell what the process has done so far, by its journal and the system."""
        journal = self.journal.read_text() if self.journal.exists() else ""
        return process_account(self._process.pid, journal)


@dataclass
class DemoHistory:
    """A history of one job that was read twice, and of some online requests, to be spoiled."""

    items: int
    requests: int
    events: list[Event] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.events.append(JobAccepted(1.0, "key", "job-1", "", self.items))
        for number in range(self.requests):
            self.events += _request(number)
        for read_s in (5.0, 6.0):
            self.events.append(JobRead(read_s, "job-1", "completed", self.items, 0))
            self.events += [_result(read_s, index) for index in range(self.items)]
        self.events.append(RunEnded(9.0, True))

    def history(self) -> History:
        """Return the events as a history in time order."""
        return history_in_order(self.events)

    def spoil(self, breach: str) -> None:
        """Bring about a breach by its words in the feature."""
        words = breach.split()
        if breach.startswith("a drained engine got work"):
            self.drained_engine_works(float(words[5]))
        elif breach == "a job counts one item more than it has":
            self._change(JobRead, completed=self.items + 1)
        elif breach.startswith("the last item"):
            self._spoil_item(breach)
        else:
            self._spoil_answer(breach)

    def drained_engine_works(self, after_s: float) -> None:
        """Declare a drain and let the engine begin something ``after_s`` seconds later."""
        self.events.append(DrainDeclared(3.0, LATE, True))
        self.events.append(EngineStarted(3.0 + after_s, LATE, "online-0", "attempt", False))

    def _spoil_item(self, breach: str) -> None:
        last = max(n for n, event in enumerate(self.events) if isinstance(event, ResultRead))
        if breach.endswith("is missing at the second reading"):
            del self.events[last]
        elif breach.endswith("has a wrong result"):
            self._change(ResultRead, text="another text")
        elif breach.endswith("was set aside"):
            self._change(ResultRead, phase="set_aside", text="")
        else:
            assert breach.endswith("stands twice in one reading")
            self.events.insert(last, self.events[last])

    def _spoil_answer(self, breach: str) -> None:
        last = max(n for n, event in enumerate(self.events) if isinstance(event, AnswerReceived))
        if breach.endswith("lacks its end"):
            self._change(AnswerReceived, text="an")
        elif breach.endswith("broke off"):
            self._change(AnswerReceived, text="an", outcome=Outcome.UNKNOWN)
        else:
            assert breach.endswith("was never answered")
            del self.events[last]

    def _change(self, event_type: type, **changes: Any) -> None:
        """Change the last event of a type."""
        last = max(n for n, event in enumerate(self.events) if isinstance(event, event_type))
        self.events[last] = replace(self.events[last], **changes)


def _request(number: int) -> list[Event]:
    name = f"online-{number}"
    sent = RequestSent(
        2.0, name, f"{name}#1", "gateway-a1", "exporter", RequestClass.ONLINE, "an answer"
    )
    answered = AnswerReceived(
        4.0, name, f"{name}#1", Outcome.COMPLETED, "an answer", 2.5, "", False
    )
    return [sent, answered]


def _result(read_s: float, index: int) -> ResultRead:
    return ResultRead(read_s, "job-1", index, "completed", f"result {index}", f"result {index}")


def write_journal(folder: Path, jobs: int) -> Path:
    """Write the journal of one start with some noted jobs; return its path."""
    journal = AcceptedJournal(folder)
    assert journal.open().is_ok()
    for number in range(jobs):
        item = NotedItem(f"item-{number}", "prompt", 8)
        journal.note(NotedJob(journal.run, f"key-{number}", f"job-{number}", "reports", (item,)))
    journal.close()
    return journal.path
