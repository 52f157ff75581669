"""Steps on the planned stop of a controller's process."""

import socket

from behave import then, when
from features.support.platform_stand_in import CONTROL_PORT, wait_until

CALL = b"GET /api/Config.Read HTTP/1.1\r\nHost: here\r\n\r\n"
HALF = len(CALL) // 2
CONTROLLER = "controller-1"
SOCKET_LIMIT_S = 20.0


@when("an operator has sent half of a call to a controller, and that is asked to end")
def send_half(context):
    platform = context.platform
    address = (platform.nodes[CONTROLLER].ip, CONTROL_PORT)
    context.operator = socket.create_connection(address, SOCKET_LIMIT_S)
    context.add_cleanup(context.operator.close)
    context.operator.sendall(CALL[:HALF])
    platform.terminate(CONTROLLER)
    wait_until(lambda: _has_logged(platform, "stopping"), "the controller has begun to stop")


def _has_logged(platform, event):
    return any(line.get("event") == event for line in platform.log_lines(CONTROLLER))


@when("the operator sends the rest of the call")
def send_rest(context):
    context.operator.sendall(CALL[HALF:])


@then("the operator is answered, and told that the connection closes")
def is_answered(context):
    received = b""
    while b"\r\n\r\n" not in received:
        piece = context.operator.recv(65536)
        assert piece, f"closed behind {received!r}"
        received += piece
    assert received.startswith(b"HTTP/1.1 ") and b"connection: close" in received.lower(), received


@then("the controller ends with code 0")
def ends(context):
    process = context.platform.nodes[CONTROLLER].process
    assert process.wait(SOCKET_LIMIT_S) == 0, process.returncode
