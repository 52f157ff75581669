"""Socket options that Twisted has no method for."""

import socket
from typing import Any

MILLISECONDS_PER_S = 1000


def set_user_timeout(transport: Any, timeout_s: float) -> None:
    """End the connection when sent bytes stay unacknowledged for ``timeout_s``; 0 changes nothing.

    Behind a cut nothing answers, so without it a connection hangs for many minutes. A transport
    without a socket (in tests) is left alone.
    """
    handle = getattr(transport, "getHandle", None)
    option = getattr(socket, "TCP_USER_TIMEOUT", None)
    if handle is None or option is None or timeout_s <= 0:
        return
    milliseconds = int(timeout_s * MILLISECONDS_PER_S)
    try:
        handle().setsockopt(socket.IPPROTO_TCP, option, milliseconds)
    except (AttributeError, OSError):
        return
