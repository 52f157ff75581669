"""Socket options that Twisted has no method for."""

import socket
import struct
from typing import Any

MILLISECONDS_PER_S = 1000


PROBED_AFTER_S = 2
PROBE_PERIOD_S = 1

RESET_AT_CLOSE = struct.pack("ii", 1, 0)
CLOSE_IN_ORDER = struct.pack("ii", 0, 0)
"""Values of ``SO_LINGER``: whether it is on, and for how many seconds a close may linger."""


def set_user_timeout(transport: Any, timeout_s: float) -> None:
    """End the connection when the other side has acknowledged nothing for ``timeout_s``.

    Behind a cut nothing answers, and a connection may go silent for good without a reset; without
    this it hangs for many minutes. One on which nothing is sent is probed, so that it is found too.
    0 changes nothing. A transport without a socket (in tests) is left alone.
    """
    handle = getattr(transport, "getHandle", None)
    option = getattr(socket, "TCP_USER_TIMEOUT", None)
    if handle is None or option is None or timeout_s <= 0:
        return
    milliseconds = int(timeout_s * MILLISECONDS_PER_S)
    try:
        connection = handle()
        connection.setsockopt(socket.IPPROTO_TCP, option, milliseconds)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBED_AFTER_S)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_PERIOD_S)
    except (AttributeError, OSError):
        return


def reset_at_close(transport: Any) -> None:
    """Have every close of the connection reset it, also the kernel's when the process dies."""
    _set_linger(transport, RESET_AT_CLOSE)


def close_in_order(transport: Any) -> None:
    """Undo ``reset_at_close``: a close lets out what was written, and then says that it is all."""
    _set_linger(transport, CLOSE_IN_ORDER)


def _set_linger(transport: Any, linger: bytes) -> None:
    """Set the option; a transport without a socket (in tests) is left alone."""
    handle = getattr(transport, "getHandle", None)
    if handle is None:
        return
    try:
        handle().setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except (AttributeError, OSError):
        return
