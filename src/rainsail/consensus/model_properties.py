"""The safety properties that a model check verifies at every step."""

from dataclasses import dataclass, field

from rainsail.consensus.core import ConsensusCore
from rainsail.consensus.core_state import CoreState, Role
from rainsail.storage.interface import LogEntry


class PropertyViolation(Exception):
    """A safety property did not hold."""

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(f"{name}: {detail}")
        self.name = name
        self.detail = detail


@dataclass(slots=True)
class SafetyProperties:
    """The history of all members so far, checked as it grows.

    - one leader per term
    - log matching: an index and a term identify one entry with one predecessor
    - state-machine safety: no two members commit different entries at one index
    - leader completeness: a new leader holds everything committed before
    - lease promise: a member that has answered a leader withholds its vote for a timeout
    - durable acknowledgement: a member keeps everything it acknowledged as synced
    - whole snapshots: a member installs every chunk of a snapshot, in order
    - no stale read: a completed read barrier covers everything committed when it was requested
    - no stale lease read: a leader with a lease knows of every commit
    """

    leaders: dict[int, str] = field(default_factory=dict)
    entries: dict[tuple[int, int], tuple[bytes, int]] = field(default_factory=dict)
    committed: list[LogEntry] = field(default_factory=list)

    def appended(self, entry: LogEntry, previous_term: int) -> None:
        """Check log matching for one appended entry."""
        known = self.entries.setdefault((entry.index, entry.term), (entry.payload, previous_term))
        if known != (entry.payload, previous_term):
            raise PropertyViolation(
                "log-matching", f"two entries at index {entry.index} of term {entry.term}"
            )

    def became_leader(self, state: CoreState) -> None:
        """Check that the term has one leader and that its log holds all committed entries."""
        known = self.leaders.setdefault(state.term, state.identity)
        if known != state.identity:
            raise PropertyViolation(
                "one-leader-per-term", f"{known} and {state.identity} lead term {state.term}"
            )
        for entry in self.committed[state.log.base_index :]:
            if state.log.term_at(entry.index) != entry.term:
                raise PropertyViolation(
                    "leader-completeness",
                    f"{state.identity} leads term {state.term} without the committed "
                    f"entry {entry.index} of term {entry.term}",
                )

    def committed_to(self, state: CoreState, before: int) -> bool:
        """Check a member's newly committed entries; True if one is new for the whole group."""
        grew = False
        for index in range(before + 1, state.commit_index + 1):
            entry = state.log.entry(index)
            if index > len(self.committed):
                self.committed.append(entry)
                grew = True
                continue
            known = self.committed[index - 1]
            if known != entry:
                raise PropertyViolation(
                    "state-machine-safety",
                    f"{state.identity} commits term {entry.term} at index {index} where "
                    f"term {known.term} was committed",
                )
        return grew

    def would_answer_reads(self, core: ConsensusCore, now: float) -> None:
        """Check that a leader with a lease knows of every commit."""
        state = core.state
        if state.role != Role.LEADER or state.commit_index < state.term_start_index:
            return
        if len(self.committed) > state.commit_index and core.holds_lease(now):
            raise PropertyViolation(
                "stale-lease-read",
                f"{state.identity} holds the lease of term {state.term} at commit "
                f"{state.commit_index} while {len(self.committed)} entries are committed",
            )

    def voted(self, state: CoreState, since_followed_s: float) -> None:
        """Check a vote against the promise that a leader's lease relies on."""
        if since_followed_s < state.settings.election_timeout_s:
            raise PropertyViolation(
                "lease-promise",
                f"{state.identity} votes for {state.voted_for} in term {state.term} "
                f"{since_followed_s:.3f} s after answering a leader",
            )

    def acknowledged_lost(self, replica: str, holds: int, acknowledged: int) -> None:
        """Report that a leader has found a member without entries that it acknowledged."""
        raise PropertyViolation(
            "durable-acknowledgement", f"{replica} holds {holds} of {acknowledged} entries"
        )

    def installs(
        self, replica: str, chunks: tuple[bytes, ...], expected: tuple[bytes, ...]
    ) -> None:
        """Check the chunks that a member is about to install."""
        if chunks != expected:
            raise PropertyViolation(
                "whole-snapshot", f"{replica} installs {chunks} in place of {expected}"
            )

    def read_answered(self, identity: str, index: int, needed: int) -> None:
        """Check that a read barrier covers what was committed when it was requested."""
        if index < needed:
            raise PropertyViolation(
                "stale-read", f"{identity} answers a read at {index}, {needed} was committed"
            )
