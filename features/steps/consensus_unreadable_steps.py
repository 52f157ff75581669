"""Steps on committed entries that a replica can't read."""

from behave import then, when

from rainsail.errors import FaultCode
from rainsail.wire.codec import CodecError


def _cannot_read(index, command):
    raise CodecError("no such record")


@when("a follower of the consensus group can't read the next entry")
def unreadable(context):
    context.unreadable_at = context.consensus.followers()[0]
    context.consensus.running[context.unreadable_at].state.apply = _cannot_read


@then("that follower has stopped with a storage fault that names the entry")
def stopped(context):
    member = context.consensus.running[context.unreadable_at]
    context.consensus.run_until(lambda: bool(member.faults), "the follower's fault")
    fault = member.faults[0]
    assert (fault.code, fault.step) == (FaultCode.STORAGE, "consensus.apply"), fault
    assert "entry" in fault.detail, fault
    assert member.state.numbers == []
