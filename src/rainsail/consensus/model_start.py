"""Initial groups of the schedules: sizes, clocks, timeouts, founded or not."""

import random as random_module

from rainsail.consensus.membership import Membership, MemberSpec, encode_membership
from rainsail.consensus.model_member import ModelMember
from rainsail.consensus.model_world import ModelWorld
from rainsail.consensus.settings import ConsensusSettings
from rainsail.storage.interface import HardState, LogEntry

CLOCK_RATE_SPREAD = 0.05
"""Clocks run fast or slow by up to this fraction; two clocks together stay just within the
default ``clock_rate_margin``."""
MEMBER_NAMES = "abcde"
MODEL_SETTINGS = ConsensusSettings(
    heartbeat_period_s=0.3,
    election_timeout_s=1.0,
    election_timeout_spread=0.8,
    max_batch_bytes=1,
    max_in_flight_bytes=40,
    retained_entries=2,
    caught_up_entries=3,
    promotion_lag_entries=1,
    unreachable_after_s=1.0,
    repair_after_s=1.5,
    hello_period_s=0.5,
)
CLOSE_TIMEOUTS = MODEL_SETTINGS.model_copy(update={"election_timeout_spread": 0.05})
"""Settings with which members campaign at nearly the same time, so that candidates compete."""
CLOSE_TIMEOUTS_PROBABILITY = 0.3


def founded_disk(member: ModelMember, membership: Membership, founder: str) -> None:
    """Give a member the disk of a group that was founded in term 1."""
    member.disk.hard_state = HardState(1, founder)
    member.disk.entries = [LogEntry(1, 1, encode_membership(membership))]


def new_world(random: random_module.Random, size: int) -> ModelWorld:
    """Build a group of running members, founded already in most cases."""
    names = tuple(MEMBER_NAMES[:size])
    members = {}
    settings = CLOSE_TIMEOUTS if random.random() < CLOSE_TIMEOUTS_PROBABILITY else MODEL_SETTINGS
    for name in names:
        rate = 1 + random.uniform(-CLOCK_RATE_SPREAD, CLOCK_RATE_SPREAD)
        members[name] = ModelMember(name, names, settings, random, rate)
    world = ModelWorld(members, random)
    if random.random() < 0.85:
        membership = Membership(
            tuple(MemberSpec(name, members[name].disk.identity) for name in names)
        )
        founding = encode_membership(membership)
        world.properties.entries[(1, 1)] = (founding, 0)
        world.properties.leaders[1] = members[names[0]].disk.identity
        for member in members.values():
            founded_disk(member, membership, members[names[0]].disk.identity)
    for member in members.values():
        member.start(0.0)
    return world
