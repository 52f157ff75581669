"""Steps of features/wire/admission.feature about names and roles in certificates."""

from datetime import timedelta

from behave import given, then, when
from features.support.wire import (
    Node,
    add_node,
    nodes_of,
    role_by_name,
    temporary_folder,
    tls_settings,
    wait_until,
)

from rainsail.errors import RainsailError
from rainsail.logs import logger
from rainsail.wire import keys
from rainsail.wire.address import PeerAddress
from rainsail.wire.hello import ProcessRole

AN_HOUR_AGO = timedelta(hours=-1)
OTHER_ROLE = {
    ProcessRole.REPLICA: ProcessRole.GATEWAY,
    ProcessRole.GATEWAY: ProcessRole.REPLICA,
}


@given('a wire authority with certificates by role for "{first}" and "{second}"')
def step_authority_by_role(context, first, second):
    context.wire_keys = temporary_folder(context)
    for name in (first, second):
        keys.create_certificates(context.wire_keys, [name], role_by_name(name))
    _keep_log(context)


def _keep_log(context):
    context.wire_log = []
    handler = logger.add(lambda message: context.wire_log.append(message.record), level="DEBUG")
    context.add_cleanup(logger.remove, handler)


@given('a listening wire node "{name}" that checks roles')
def step_listens_by_role(context, name):
    tls = tls_settings(context.wire_keys, name)
    add_node(context, Node(name, tls=tls, role_of=role_by_name)).listen()


@given('a wire node "{name}" with a certificate that is {what} and its peer "{peer}"')
def step_knows_by_role(context, name, what, peer):
    folder = _certificate(context, name, what)
    port = nodes_of(context)[peer].port
    peers = {peer: PeerAddress("127.0.0.1", port)}
    # Without role_of this node does not check its own certificate, so the peer has to refuse it.
    add_node(context, Node(name, peers, tls_settings(folder, name)))


def _certificate(context, name, what):
    """Return the folder of a certificate with the named defect, or of a valid one."""
    folder = context.wire_keys
    role = role_by_name(name)
    if what == "of the wrong role":
        keys.create_certificates(folder, [name], OTHER_ROLE[role])
    elif what == "without a role":
        keys.create_certificates(folder, [name], "")
    elif what == "expired":
        keys.create_certificates(folder, [name], role, AN_HOUR_AGO)
    elif what == "of another authority":
        folder = temporary_folder(context)
        (folder / keys.AUTHORITY_FILE).unlink(missing_ok=True)
        keys.create_certificates(folder, [name], role)
        _trust(folder, context.wire_keys)
    return folder


def _trust(folder, other):
    """Make the process trust the fleet's authority, so that only the fleet refuses."""
    (folder / keys.AUTHORITY_FILE).write_bytes((other / keys.AUTHORITY_FILE).read_bytes())


@when('a wire node "{name}" that checks roles is made with a certificate of the wrong role')
def step_make_wrong_role(context, name):
    keys.create_certificates(context.wire_keys, [name], OTHER_ROLE[role_by_name(name)])
    context.wire_error = None
    try:
        add_node(
            context, Node(name, {}, tls_settings(context.wire_keys, name), role_of=role_by_name)
        )
    except RainsailError as error:
        context.wire_error = error


@when('the log is read while a plain wire node "{name}" is made')
def step_make_plain(context, name):
    _keep_log(context)
    add_node(context, Node(name))


@then('the log has the line "{line}" of "{name}"')
def step_log_line(context, line, name):
    found = [(each["message"], each["extra"].get("process")) for each in context.wire_log]
    assert (line, name) in found, found


@then('the wire fault arose in "{step}" at "{peer}"')
def step_fault_place(context, step, peer):
    fault = context.wire_results[0].error
    assert (fault.step, fault.peer) == (step, peer), fault


@then('the log of "{name}" has a refusal in "{step}" at "{peer}"')
def step_refusal_logged(context, name, step, peer):
    start = f"connection closed: forbidden in {step} at {peer}: "

    def refusals():
        own = [each for each in context.wire_log if each["extra"].get("process") == name]
        return [each for each in own if each["message"].startswith(start)]

    wait_until(refusals, f"a refusal in the log of {name}")
