"""One member's consensus core, to which a test passes messages directly."""

import random
from typing import Any

from rainsail.consensus.core import ConsensusCore
from rainsail.consensus.effects import Effects
from rainsail.consensus.log_window import LogWindow
from rainsail.consensus.membership import Membership, MemberSpec, encode_membership
from rainsail.consensus.messages import AppendRequest, PreVoteReply, VoteReply, VoteRequest
from rainsail.consensus.settings import ConsensusSettings
from rainsail.storage.interface import HardState, LogEntry

GROUP = 0
NAMES = ("a", "b", "c", "d", "e")
MEMBERSHIP = Membership(tuple(MemberSpec(name, f"{name}.1") for name in NAMES))
SELF = "c.1"


class DirectMember:
    """Member c of five members, whose log holds the founding entry of term 1."""

    def __init__(self, term: int) -> None:
        self.now_s = 100.0
        self.hard_state = HardState(term, "")
        self.log = LogWindow()
        self.log.append(LogEntry(1, 1, encode_membership(MEMBERSHIP)))
        self.start()

    def start(self, started_s: float | None = None) -> None:
        """Start from the stored state, in a process that started at ``started_s``."""
        self.core = ConsensusCore(
            GROUP,
            "c",
            SELF,
            NAMES,
            ConsensusSettings(),
            random.Random(1),
            self.hard_state,
            self.log,
            self.now_s,
            started_s,
        )

    def receive(self, source: str, message: Any) -> Effects:
        """Pass a message to the core and store the hard state that it writes."""
        effects = self.core.receive(source, message, self.now_s)
        if effects.hard_state is not None:
            self.hard_state = effects.hard_state
        return effects

    def hear_leader(self, term: int) -> Effects:
        """Receive a heartbeat of leader a."""
        return self.receive("a", AppendRequest(GROUP, term, "a.1", SELF, 1, 1, 0, 1, ()))

    def hear_late_refusal(self, term: int) -> Effects:
        """Receive a late refusal of a pre-vote, which carries a later term."""
        return self.receive("e", PreVoteReply(GROUP, term, "e.1", SELF, term, False))

    def asked_for_vote(self, candidate: str, term: int) -> tuple[bool, bool]:
        """Request a vote; returns (granted, whether the reply waits for a sync)."""
        request = VoteRequest(GROUP, term, f"{candidate}.1", SELF, 1, 1, False)
        effects = self.receive(candidate, request)
        at_once = [out.message for out in effects.messages if isinstance(out.message, VoteReply)]
        later = [out.message for out in effects.after_sync if isinstance(out.message, VoteReply)]
        replies = at_once + later
        return any(reply.granted for reply in replies), bool(later) and not at_once
