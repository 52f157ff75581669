"""Index of the runners that a gateway follows, by name and by service."""

from bisect import insort

from rainsail.gateway.runner_state import ObservedRunner
from rainsail.resources.specs import Resource


class RunnerIndex:
    """Runner states by name, and per service in name order."""

    def __init__(self) -> None:
        self._by_name: dict[str, ObservedRunner] = {}
        self._by_service: dict[str, list[ObservedRunner]] = {}

    def get(self, name: str) -> ObservedRunner | None:
        """Return a runner's state, or None."""
        return self._by_name.get(name)

    def all(self) -> list[ObservedRunner]:
        """Return all states in name order."""
        return [self._by_name[name] for name in sorted(self._by_name)]

    def of_service(self, service: str) -> list[ObservedRunner]:
        """Return the states of a service in name order."""
        return self._by_service.get(service, [])

    def add(self, state: ObservedRunner) -> None:
        """Add a state."""
        self._by_name[state.name] = state
        insort(self._by_service.setdefault(state.spec.service, []), state, key=_name)

    def update(self, state: ObservedRunner, resource: Resource) -> None:
        """Apply a new version of a runner's resource; its service may have changed."""
        service = state.spec.service
        state.update_resource(resource)
        if state.spec.service != service:
            self._by_service[service].remove(state)
            insort(self._by_service.setdefault(state.spec.service, []), state, key=_name)

    def remove(self, name: str) -> None:
        """Remove a state if it exists."""
        state = self._by_name.pop(name, None)
        if state is not None:
            self._by_service[state.spec.service].remove(state)


def _name(state: ObservedRunner) -> str:
    return state.name
