"""The model state of an emulated engine, which only fenced orders change."""

from collections.abc import Callable

from expression import Error, Ok, Result
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from rainsail.emulator.weight_store import WeightStore
from rainsail.engine.interface import (
    EngineOrder,
    GenerateRequest,
    OrderKind,
    OrderReply,
    Priority,
)
from rainsail.errors import Fault, FaultCode
from rainsail.resources.specs import RunnerRole


class ModelState:
    """Version, adapters, role and fence of one engine.

    The engine serves the old version while it fetches a new one's weights. It then finishes its
    running sequences, swaps versions, and clears its prefix cache (``on_swap``).
    """

    def __init__(
        self,
        weight_store: WeightStore,
        may_swap: Callable[[], bool],
        on_swap: Callable[[], None],
    ) -> None:
        self._weight_store = weight_store
        self._may_swap = may_swap
        self._on_swap = on_swap
        self._load: Deferred[None] | None = None
        self._adapter_loads: dict[str, Deferred[None]] = {}
        self._swap_to: str | None = None
        self.loaded_version = ""
        self.loading_version = ""
        self.adapters: tuple[str, ...] = ()
        self.role: str = RunnerRole.MIXED
        self.fence = 0

    @property
    def swapping(self) -> bool:
        """Whether a version swap waits for the running sequences to finish."""
        return self._swap_to is not None

    def reply(self) -> OrderReply:
        """Return the state in the form of a reply to an order."""
        return OrderReply(
            self.fence, self.loaded_version, self.loading_version, self.adapters, self.role
        )

    def refusal(self, request: GenerateRequest) -> str:
        """Return why a request cannot run here, or an empty string."""
        if not self.loaded_version:
            return "no version is loaded"
        if request.version and request.version != self.loaded_version:
            return f"version {request.version!r} is not loaded"
        if request.adapter and request.adapter not in self.adapters:
            return f"adapter {request.adapter!r} is not loaded"
        if self.role == RunnerRole.ONLINE_ONLY and request.priority is Priority.LOW:
            return "the engine's role is online only"
        if self.role == RunnerRole.BATCH_ONLY and request.priority is Priority.HIGH:
            return "the engine's role is batch only"
        return ""

    def take(self, order: EngineOrder) -> Result[OrderReply, Fault]:
        """Apply an order; the fault is FENCED when a higher fence was seen."""
        if order.fence < self.fence:
            detail = f"fence {order.fence} is below {self.fence}"
            return Error(Fault(FaultCode.FENCED, "engine.order", detail))
        if order.kind is OrderKind.SET_ROLE and order.target not in list(RunnerRole):
            detail = f"no role {order.target!r}"
            return Error(Fault(FaultCode.INVALID, "engine.order", detail))
        self.fence = order.fence
        match order.kind:
            case OrderKind.LOAD_VERSION:
                self._load_version(order)
            case OrderKind.UNLOAD_VERSION:
                self._unload_version(order.target)
            case OrderKind.LOAD_ADAPTER:
                self._load_adapter(order)
            case OrderKind.UNLOAD_ADAPTER:
                self._unload_adapter(order.target)
            case OrderKind.SET_ROLE:
                self.role = order.target
        return Ok(self.reply())

    def swap_if_idle(self) -> None:
        """Swap versions when a swap is pending and nothing runs."""
        if self._swap_to is None or not self._may_swap():
            return
        self.loaded_version = self._swap_to
        self._swap_to = None
        self.loading_version = ""
        self._on_swap()

    def stop_loads(self) -> None:
        """Cancel all loads in progress."""
        self._cancel_load()
        for name in list(self._adapter_loads):
            self._adapter_loads.pop(name).cancel()

    def _load_version(self, order: EngineOrder) -> None:
        if order.target in (self.loading_version, self.loaded_version) and order.target:
            if order.target == self.loaded_version:
                self._cancel_load()
            return
        self._cancel_load()
        self.loading_version = order.target
        self._load = self._weight_store.fetch(order.weight_bytes)
        self._load.addCallbacks(lambda _: self._version_fetched(order.target), _cancelled)

    def _version_fetched(self, version: str) -> None:
        self._load = None
        self._swap_to = version
        self.swap_if_idle()

    def _unload_version(self, version: str) -> None:
        if version == self.loading_version:
            self._cancel_load()
        if version == self.loaded_version and self._swap_to is None:
            self._swap_to = ""
            self.swap_if_idle()

    def _cancel_load(self) -> None:
        load, self._load = self._load, None
        self.loading_version = ""
        self._swap_to = None
        if load is not None:
            load.cancel()

    def _load_adapter(self, order: EngineOrder) -> None:
        if order.target in self.adapters or order.target in self._adapter_loads:
            return
        load = self._weight_store.fetch(order.weight_bytes)
        self._adapter_loads[order.target] = load
        load.addCallbacks(lambda _: self._adapter_fetched(order.target), _cancelled)

    def _adapter_fetched(self, name: str) -> None:
        self._adapter_loads.pop(name, None)
        self.adapters = tuple(sorted([*self.adapters, name]))

    def _unload_adapter(self, name: str) -> None:
        load = self._adapter_loads.pop(name, None)
        if load is not None:
            load.cancel()
        self.adapters = tuple(each for each in self.adapters if each != name)


def _cancelled(failure: Failure) -> None:
    failure.trap(CancelledError)
