"""The part of an item's answer that its runs have brought so far."""

from collections import Counter
from dataclasses import dataclass, field

from rainsail.cluster.messages import RunnerRecord
from rainsail.cluster.stream_origins import StreamOrigin
from rainsail.jobs.item_text import served_bytes
from rainsail.jobs.job_state import EVENT_SEPARATOR
from rainsail.relay.end_confirmation import EndConfirmation
from rainsail.relay.events import Event
from rainsail.relay.stream_beginnings import FirstEvent, StreamBeginning


@dataclass(frozen=True, slots=True)
class UnconfirmedText:
    """The text of a run of which it is not yet known whether its first events were lost."""

    beginning: StreamBeginning
    last_event: int | None
    texts: tuple[str, ...]
    numbers: tuple[int, ...]
    origin: StreamOrigin | None


@dataclass(slots=True)
class ItemProgress:
    """The part of an item's answer received so far; the leader keeps it between runs."""

    last_event: int | None = None
    texts: list[str] = field(default_factory=list)
    numbers: list[int] = field(default_factory=list)
    """The event id of each text."""
    origin: StreamOrigin | None = None
    """Who writes the text; None before the first run, or if the ledger's text has no known origin.
    """
    runs: list[tuple[RunnerRecord, float]] = field(default_factory=list)
    """The runners that wrote the text under this leader, and when each run was sent."""
    rejected_beginnings: Counter[FirstEvent] = field(default_factory=Counter)
    """How many runs were rejected because of their beginning, by their first event."""
    unconfirmed: UnconfirmedText | None = None
    """An earlier run's text; the item's next run from the start is compared with it."""
    ends: EndConfirmation = field(default_factory=EndConfirmation)
    """What the runs under this leader have stated of the text's end."""
    from_previous_leader: bool = False
    """Whether the text was received by a previous leader."""
    kept_bytes: int = 0
    """What the text takes in memory since the last run under this leader ended."""

    def take(self, event: Event) -> None:
        """Append an event; ignore one that is already there or has no number."""
        if event.number is None:
            return
        if self.last_event is not None and event.number <= self.last_event:
            return
        self.last_event = event.number
        self.texts.append(event.data)
        self.numbers.append(event.number)

    @property
    def served_bytes(self) -> int:
        """The size of the text in a result; it is counted anew for each call."""
        return sum(map(served_bytes, self.texts))

    @property
    def first_event(self) -> int | None:
        """The number of the first event, derived from the last one: there are no gaps."""
        return None if self.last_event is None else self.last_event - len(self.texts) + 1

    def start_anew(self) -> None:
        """Discard the text, so that the next run begins from the start."""
        self.last_event = None
        self.kept_bytes = 0
        self.texts.clear()
        self.numbers.clear()
        self.runs.clear()
        self.ends = EndConfirmation()

    def set_unconfirmed(self, beginning: StreamBeginning) -> None:
        """Store the text as unconfirmed until its beginning is confirmed, and start anew."""
        texts, numbers = tuple(self.texts), tuple(self.numbers)
        self.unconfirmed = UnconfirmedText(beginning, self.last_event, texts, numbers, self.origin)
        self.start_anew()

    def take_confirmed(self) -> None:
        """Adopt the unconfirmed text as the item's text."""
        confirmed, self.unconfirmed = self.unconfirmed, None
        assert confirmed is not None
        self.last_event = confirmed.last_event
        self.texts = list(confirmed.texts)
        self.numbers = list(confirmed.numbers)
        self.origin = confirmed.origin

    @property
    def text(self) -> str:
        """The data of all events, separated by line feeds."""
        return EVENT_SEPARATOR.join(self.texts)
