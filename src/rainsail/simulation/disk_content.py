"""The bytes of one simulated file: what the process sees and what is on the disk."""

import random as random_module
from dataclasses import dataclass, field

from pydantic import BaseModel, ConfigDict, Field


class SimulatedDiskSettings(BaseModel):
    """How a simulated disk behaves when nothing is injected."""

    model_config = ConfigDict(frozen=True)

    sync_latency_s: float = Field(default=0.002, ge=0, description="Duration of one sync.")
    capacity_bytes: int | None = Field(
        default=None, description="Bytes that fit on the disk; None for no bound."
    )
    partial_write_share: float = Field(
        default=0.5,
        ge=0,
        le=1,
        description="Probability that a crash keeps a random part of what was not synced.",
    )
    hole_share: float = Field(
        default=0.2,
        ge=0,
        le=1,
        description="Probability that such a part has a hole of zeros where nothing was written.",
    )


@dataclass(slots=True)
class FileContent:
    """Bytes of one file: as seen by the process, and what of them is on the disk.

    ``durable_size`` bytes of ``data`` are durable, followed on the disk by ``cut``: durable bytes
    that a truncation removed which is not synced yet. ``lost_from`` is where bytes begin that a
    failed sync dropped.
    """

    data: bytearray = field(default_factory=bytearray)
    durable_size: int = 0
    cut: bytes = b""
    lost_from: int | None = None

    def truncate(self, size: int) -> None:
        """Cut to ``size`` bytes; undone by a crash until ``settle``."""
        if self.lost_from is not None and size <= self.lost_from:
            self.lost_from = None
        if size < self.durable_size:
            self.cut = bytes(self.data[size : self.durable_size]) + self.cut
            self.durable_size = size
        del self.data[size:]

    def settle(self, size: int) -> None:
        """Make the first ``size`` bytes durable."""
        reached = min(size, len(self.data))
        if self.lost_from is not None:
            reached = min(reached, self.lost_from)
        self.durable_size = max(self.durable_size, reached)
        self.cut = b""

    def lose_unsynced(self, random: random_module.Random, settings: SimulatedDiskSettings) -> None:
        """Fall back to what is on the disk, perhaps with a part of what was not synced."""
        kept = self.data[: self.durable_size]
        fresh = self.data[self.durable_size : self.lost_from]
        if fresh and random.random() < settings.partial_write_share:
            kept += _part_kept(fresh, random, settings)
        elif self.cut:
            kept += self.cut
        self.data = kept
        self.durable_size = len(kept)
        self.cut = b""
        self.lost_from = None

    def drop_lost(self) -> None:
        """Read back as zeros what a failed sync dropped."""
        if self.lost_from is not None:
            start = self.lost_from
            self.data[start:] = bytes(len(self.data) - start)


def _part_kept(
    fresh: bytearray, random: random_module.Random, settings: SimulatedDiskSettings
) -> bytearray:
    """Return what a crash keeps of unsynced bytes: a prefix, perhaps with a hole in it."""
    if random.random() >= settings.hole_share:
        return fresh[: random.randint(0, len(fresh))]
    start = random.randint(0, len(fresh))
    end = random.randint(start, len(fresh))
    fresh[start:end] = bytes(end - start)
    return fresh
