"""Shared components of a gateway that each of its requests uses."""

from dataclasses import dataclass, field
from random import Random

from rainsail.control.interface import ConfigReader
from rainsail.engine.interface import EngineClient
from rainsail.gateway.admission import Admission
from rainsail.gateway.cancellation import Canceller
from rainsail.gateway.claims import ClaimClient
from rainsail.gateway.decision_ring import DecisionRing
from rainsail.gateway.fleet import RunnerFleet
from rainsail.gateway.retry import RetryBudget
from rainsail.gateway.sessions import SessionKeeper
from rainsail.gateway.settings import GatewaySettings
from rainsail.runtime.clock import Clock


@dataclass(slots=True)
class RunContext:
    """The gateway's components as its requests see them, and the counter for run ids."""

    gateway: str
    incarnation: str
    zone: str
    config: ConfigReader
    engine: EngineClient
    fleet: RunnerFleet
    admission: Admission
    claims: ClaimClient
    sessions: SessionKeeper
    canceller: Canceller
    decisions: DecisionRing
    clock: Clock
    random: Random
    settings: GatewaySettings
    budgets: dict[str, RetryBudget] = field(default_factory=dict)
    counter: int = 0

    def next_id(self) -> str:
        """Return an id that is unique across all gateways and their restarts."""
        self.counter += 1
        return f"{self.gateway}/{self.incarnation}/{self.counter}"

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service's runners."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(self.settings.retry, self.clock.seconds())
            self.budgets[service] = budget
        return budget
