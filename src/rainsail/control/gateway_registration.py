"""Registers a gateway's own resource with its current incarnation."""

from dataclasses import replace

from rainsail.control.interface import ControlClient
from rainsail.resources.specs import GatewaySpec, Kind, Resource, ResourceKey
from rainsail.state.commands import MUST_NOT_EXIST, PutResource, ResourceChanged


class GatewayRegistration:
    """Puts the Gateway resource until the configuration view has this incarnation."""

    def __init__(
        self, client: ControlClient, gateway: str, spec: GatewaySpec, timeout_s: float
    ) -> None:
        self.key = ResourceKey(Kind.GATEWAY, gateway)
        self._client = client
        self._spec = spec
        self._timeout_s = timeout_s
        self._attempts = 0
        self._registered_revision = 0

    def is_current(self, current: Resource | None, revision: int) -> bool:
        """Tell whether the view at ``revision`` has this incarnation, or will after catching up."""
        if revision < self._registered_revision:
            return True
        return (
            current is not None
            and isinstance(current.spec, GatewaySpec)
            and current.spec.incarnation == self._spec.incarnation
        )

    async def register(self, current: Resource | None) -> bool:
        """Replace the resource in the view; returns False when the view must list again."""
        self._attempts += 1
        command = PutResource(
            f"{self.key.name}/{self._spec.incarnation}/{self._attempts}",
            self.key,
            self._spec_over(current),
            MUST_NOT_EXIST if current is None else current.revision,
        )
        answer = await self._client.propose(command, self._timeout_s)
        if answer.is_ok() and isinstance(answer.ok, ResourceChanged):
            self._registered_revision = answer.ok.revision
        return answer.is_ok()

    def _spec_over(self, current: Resource | None) -> GatewaySpec:
        """Return this process's spec; an operator's drain is kept across a restart."""
        if current is not None and isinstance(current.spec, GatewaySpec):
            return replace(self._spec, drain=self._spec.drain or current.spec.drain)
        return self._spec
