"""What gateways have under way at each runner, as they last said it."""

from rainsail.jobs.messages import OnlineUse


class OnlineUseBook:
    """The sum over gateways; each message of a gateway replaces its last."""

    def __init__(self) -> None:
        self._by_gateway: dict[str, dict[str, int]] = {}
        self._totals: dict[str, int] = {}

    def take(self, gateway: str, message: OnlineUse) -> None:
        """Replace what a gateway has under way."""
        for runner, count in self._by_gateway.get(gateway, {}).items():
            self._totals[runner] = self._totals.get(runner, 0) - count
        uses = {use.runner: use.running for use in message.uses}
        self._by_gateway[gateway] = uses
        for runner, count in uses.items():
            self._totals[runner] = self._totals.get(runner, 0) + count

    def of_gateway(self, gateway: str) -> dict[str, int]:
        """Return what a gateway has under way by runner, as it last said."""
        return self._by_gateway.get(gateway, {})

    @property
    def heard_any(self) -> bool:
        """Tell whether some gateway has said what it has under way."""
        return bool(self._by_gateway)

    def clear(self) -> None:
        """Forget everything: what was heard before this node led is old."""
        self._by_gateway.clear()
        self._totals.clear()

    def forget(self, gateway: str) -> None:
        """Drop a gateway that is gone."""
        self.take(gateway, OnlineUse(()))

    def running(self, runner: str) -> int:
        """Return the requests under way at a runner."""
        return max(0, self._totals.get(runner, 0))
