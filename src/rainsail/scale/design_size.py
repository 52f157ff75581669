"""The size that rainsail is designed for, as figures that measurements are set against."""

from dataclasses import dataclass

SECONDS_PER_DAY = 86_400.0
MIB = 1 << 20


@dataclass(frozen=True, slots=True)
class DesignSize:
    """Counts, daily rates and limits; processor shares are fractions of one core."""

    nodes: int = 380
    runners: int = 12_000
    regions: int = 11
    zones: int = 36
    tenants: int = 7_900
    models: int = 6
    requests_per_s: float = 8_300.0
    tokens_per_s: float = 2_200_000.0
    first_token_s: float = 0.36
    between_tokens_s: float = 0.055
    items_per_day: float = 20e6
    jobs_per_day: float = 14_000.0
    largest_job_items: int = 530_000
    changes_per_day: float = 49_000.0
    in_force_s: float = 12.0
    control_processor_share: float = 0.035
    control_memory_bytes: int = 32 * MIB
    control_bytes_per_s: float = 4_096.0
    control_machines: int = 22
    machines_lost_per_day: float = 130.0
    restarts_per_day: float = 3_100.0

    @property
    def nodes_per_zone(self) -> float:
        """Gateways of one zone on average."""
        return self.nodes / self.zones

    @property
    def runners_per_zone(self) -> float:
        """Runners of one zone on average."""
        return self.runners / self.zones

    @property
    def changes_per_s(self) -> float:
        """Changes of configuration a second on average over a day."""
        return self.changes_per_day / SECONDS_PER_DAY

    @property
    def restarts_per_s(self) -> float:
        """Restarts a second on average over a day."""
        return self.restarts_per_day / SECONDS_PER_DAY

    @property
    def items_per_s(self) -> float:
        """Batch items a second on average over a day."""
        return self.items_per_day / SECONDS_PER_DAY


DESIGN_SIZE = DesignSize()
