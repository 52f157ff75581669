"""Dispatch policies: how many batch items each runner may hold at a given time."""

from collections.abc import Callable

from rainsail.batch.interface import DispatchPolicy
from rainsail.batch.policies.lagged_cap import LaggedCapPolicy
from rainsail.batch.policies.none import NoBatchPolicy
from rainsail.batch.policies.preemptive import PreemptivePolicy
from rainsail.batch.policies.shared_queue import SharedQueuePolicy
from rainsail.batch.policies.static_partition import StaticPartitionPolicy
from rainsail.batch.settings import BatchSettings

POLICIES: dict[str, Callable[[BatchSettings], DispatchPolicy]] = {
    "none": lambda settings: NoBatchPolicy(),
    "shared_queue": lambda settings: SharedQueuePolicy(),
    "static_partition": lambda settings: StaticPartitionPolicy(),
    "lagged_cap": lambda settings: LaggedCapPolicy(),
    "preemptive": lambda settings: PreemptivePolicy(settings.batch_weight),
}
"""Every policy by name, in the order of the reports."""


def make_policy(settings: BatchSettings) -> DispatchPolicy:
    """Return the policy that the settings name; raises ValueError if the name is unknown."""
    maker = POLICIES.get(settings.policy)
    if maker is None:
        raise ValueError(f"no policy {settings.policy!r}; one of {', '.join(POLICIES)}")
    return maker(settings)
