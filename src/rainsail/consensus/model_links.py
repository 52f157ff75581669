"""Links of a model check that delay messages for a while."""

from rainsail.consensus.model_world import InFlight


class SlowLinks:
    """The step until which each link holds its messages back."""

    def __init__(self) -> None:
        self._until: dict[tuple[str, str], int] = {}

    def hold(self, source: str, target: str, until_step: int) -> None:
        """Hold back messages from one member to another until a step."""
        self._until[(source, target)] = until_step

    def first_ready(self, in_flight: list[InFlight], step: int) -> int:
        """Return the position of the oldest message not held back; 0 if all are held back."""
        for position, message in enumerate(in_flight):
            link = (message.source, message.outgoing.replica)
            if self._until.get(link, 0) <= step:
                return position
        return 0
