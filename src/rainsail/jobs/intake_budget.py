"""Bounds the memory of jobs that are being taken in, at the gateways and at the ledger's leader.

A job is copied several times on its way: parsed, encoded for the ledger, in the log, on its way to
followers and to the disk. The copies count against the budget of the process.
"""

from rainsail.budget.client_budget import NO_ROOM, ClientBudget
from rainsail.budget.memory import HeldKind, Holding
from rainsail.errors import Fault, FaultCode

STEP = "jobs.intake"
STATUS_OVER_LIMIT = 429
STATUS_UNAVAILABLE = 503
GATEWAY_COPIES = 3
"""Copies of a job's body at a gateway: its JSON values, the decoded items, the encoded message."""
LEDGER_COPIES = 6
"""Copies of a job at the leader: message, command, log entry, its record, and one per follower."""
STATE_COPIES = 2
"""Copies of an accepted job's bodies: in the state, and in a snapshot while that is written."""
UNCOUNTED_BYTES = 64 * 1024
"""A gateway takes in a smaller job without counting its copies, which are gone within the turn."""


class GatewayIntake:
    """The jobs that a gateway passes on at the moment."""

    def __init__(self, budget: ClientBudget) -> None:
        self._budget = budget
        self._jobs = 0

    def begin(self, body_bytes: int) -> Holding | None:
        """Begin to take a job in; None if there is no room for its copies now.

        A job that is the only one always has room.
        """
        holding = Holding(self._budget.memory)
        copies = body_bytes * GATEWAY_COPIES
        if body_bytes <= UNCOUNTED_BYTES:
            return holding
        if not self._jobs:
            holding.set(HeldKind.JOB, copies)
        elif not holding.grow_to(HeldKind.JOB, copies, large=True):
            self._budget.refused(NO_ROOM, STATUS_UNAVAILABLE, copies)
            return None
        self._jobs += 1
        return holding

    def end(self, holding: Holding) -> None:
        """Give back what a job held."""
        if holding.held_bytes:
            self._jobs -= 1
        holding.close()


class LedgerIntake:
    """The jobs that the ledger's leader holds: proposed ones, and the bodies of accepted ones."""

    def __init__(self, budget: ClientBudget) -> None:
        self._budget = budget
        self._proposed: dict[str, int] = {}

    def begin(self, job: str, body_bytes: int, state_bytes: int) -> Fault | None:
        """Begin to propose a job; the fault guarantees that it will not be accepted.

        ``state_bytes`` are the bodies of the accepted jobs' items without a result. A job that is
        the only one always has room. One that is proposed already is not refused: it may still be
        accepted.
        """
        if job in self._proposed:
            return None
        proposed = sum(self._proposed.values())
        held = state_bytes * STATE_COPIES + proposed * LEDGER_COPIES
        needed = body_bytes * LEDGER_COPIES
        if held and held + needed > self._budget.limits.held_bytes:
            self._budget.refused(NO_ROOM, STATUS_OVER_LIMIT, held)
            detail = f"{held} bytes of jobs are held, {needed} more don't fit"
            return Fault(FaultCode.OVER_LIMIT, STEP, detail)
        self._proposed[job] = body_bytes
        return None

    def end(self, job: str) -> None:
        """Stop counting a proposal that has ended."""
        self._proposed.pop(job, None)
