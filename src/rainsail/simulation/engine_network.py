"""The virtual network between gateways and emulated engines.

Knows every emulated engine by address and the state of each (gateway, runner) link. A fault
injector cuts and heals links, kills engines and sets the hooks of ``EngineFaults``.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from pydantic import BaseModel, ConfigDict, Field

from rainsail.emulator.engine import EmulatedEngine
from rainsail.engine.interface import Chunk
from rainsail.runtime.clock import Clock


class EngineLinkSettings(BaseModel):
    """Times of the virtual links between gateways and engines."""

    model_config = ConfigDict(frozen=True)

    delay_s: float = Field(default=0.0005, ge=0, description="One-way delay of a link, in seconds.")
    jitter_s: float = Field(
        default=0.0002, ge=0, description="Most that is added to a message's delay, in seconds."
    )
    refuse_s: float = Field(
        default=0.001, ge=0, description="Time until a dead process's machine refuses, in seconds."
    )
    read_timeout_s: float = Field(
        default=3.0, gt=0, description="Silence on a stream after which it counts as lost."
    )
    call_timeout_s: float = Field(
        default=3.0, gt=0, description="Time until a call without an answer ends as TIMEOUT."
    )


ChunkHook = Callable[[str, str, Chunk], tuple[float, ...]]
"""Takes (gateway, runner, chunk); returns the extra delay of each copy: () drops the chunk."""

CallHook = Callable[[str, str, str], bool]
"""Takes (gateway, runner, what is called); True loses the message."""


def deliver_once(gateway: str, runner: str, chunk: Chunk) -> tuple[float, ...]:
    """Deliver a chunk once and without extra delay: the chunk hook of a sound network."""
    return (0.0,)


def lose_nothing(gateway: str, runner: str, what: str) -> bool:
    """Lose nothing: the call hook of a sound network."""
    return False


@dataclass(slots=True)
class EngineFaults:
    """What a fault injector may set.

    ``chunk`` decides on each chunk. ``lose_request`` decides on calls on their way to the engine
    (``generate``, ``resume``, ``cancel``, ``order``, ``export_kv``, ``import_kv``),
    ``lose_reply`` on their answers (for ``generate`` and ``resume``: on the attempt's end).
    """

    chunk: ChunkHook = deliver_once
    lose_request: CallHook = lose_nothing
    lose_reply: CallHook = lose_nothing


class LinkStream(Protocol):
    """A stream as the network sees it."""

    gateway: str
    runner: str

    def go_silent(self) -> None:
        """Nothing more arrives; the gateway notices after its read timeout."""
        ...

    def reset(self, detail: str) -> None:
        """The connection is reset and the gateway notices at once."""
        ...


class EngineNetwork:
    """All emulated engines of a simulated fleet and the links to them."""

    def __init__(self, clock: Clock, settings: EngineLinkSettings | None = None) -> None:
        self.clock = clock
        self.settings = settings or EngineLinkSettings()
        self.faults = EngineFaults()
        self._engines: dict[str, EmulatedEngine] = {}
        self._cuts: dict[tuple[str, str], bool] = {}
        self._extra_delays_s: dict[tuple[str, str], float] = {}
        self._streams: dict[LinkStream, None] = {}

    def add(self, address: str, engine: EmulatedEngine) -> None:
        """Put an engine at an address."""
        self._engines[address] = engine
        engine.on_crash(lambda: self._engine_died(engine.runner))

    def live_engine(self, address: str) -> EmulatedEngine | None:
        """Return the engine at an address when its process lives."""
        engine = self._engines.get(address)
        return engine if engine is not None and engine.alive else None

    def runner_at(self, address: str) -> str:
        """Return the name of the runner at an address, or the address when there is none."""
        engine = self._engines.get(address)
        return engine.runner if engine is not None else address

    def cut(self, gateway: str, runner: str) -> None:
        """Cut a link in silence, both ways; its open streams never come back."""
        self._cuts[gateway, runner] = True
        for stream in self._streams_of(gateway, runner):
            stream.go_silent()

    def heal(self, gateway: str, runner: str) -> None:
        """Mend a link for what is sent from now on."""
        self._cuts.pop((gateway, runner), None)

    def is_cut(self, gateway: str, runner: str) -> bool:
        """Tell whether a link is cut now."""
        return (gateway, runner) in self._cuts

    def set_extra_delay(self, gateway: str, runner: str, delay_s: float) -> None:
        """Add to the one-way delay of a link (another zone, a slow path)."""
        self._extra_delays_s[gateway, runner] = delay_s

    def break_streams(self, gateway: str, runner: str) -> None:
        """Reset the open streams of a link; the link itself stays usable."""
        for stream in self._streams_of(gateway, runner):
            stream.reset("the connection was reset")

    def delay_s(self, gateway: str, runner: str, random: Random) -> float:
        """Draw the one-way delay of one message."""
        extra_s = self._extra_delays_s.get((gateway, runner), 0.0)
        return self.settings.delay_s + extra_s + random.random() * self.settings.jitter_s

    def track(self, stream: LinkStream) -> None:
        """Remember an open stream."""
        self._streams[stream] = None

    def forget(self, stream: LinkStream) -> None:
        """Forget a stream that has ended."""
        self._streams.pop(stream, None)

    def _streams_of(self, gateway: str, runner: str) -> list[LinkStream]:
        link = (gateway, runner)
        return [stream for stream in self._streams if (stream.gateway, stream.runner) == link]

    def _engine_died(self, runner: str) -> None:
        streams = [stream for stream in self._streams if stream.runner == runner]
        for stream in streams:
            if not self.is_cut(stream.gateway, runner):
                self.clock.callLater(self.settings.refuse_s, stream.reset, "the engine died")
