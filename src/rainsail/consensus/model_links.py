"""Links of a model check that hold messages back for a while, so that these come late."""

from rainsail.consensus.model_world import InFlight


class SlowLinks:
    """Until which step each link holds back what is on it."""

    def __init__(self) -> None:
        self._until: dict[tuple[str, str], int] = {}

    def hold(self, source: str, target: str, until_step: int) -> None:
        """Hold back what one member sends to another."""
        self._until[(source, target)] = until_step

    def first_ready(self, in_flight: list[InFlight], step: int) -> int:
        """Return the place of the oldest message on no held link; 0 when all are held."""
        for position, message in enumerate(in_flight):
            link = (message.source, message.outgoing.replica)
            if self._until.get(link, 0) <= step:
                return position
        return 0
