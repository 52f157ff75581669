"""Socket functions that Twisted lacks: options, unread bytes, and closes within one reactor turn.

Twisted closes a socket in a later turn of the reactor than the call. Data that arrives in between
is lost with a reset, and a turn may be long on a busy machine.
"""

import ctypes
import select
import socket
import struct
from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionAborted, ConnectionDone
from twisted.python.failure import Failure

from rainsail.logs import logger

MILLISECONDS_PER_S = 1000


MAX_ACCEPT_CALLS = 1000
"""Limits the connections accepted in one turn of the reactor; above any listen backlog."""
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1

HANDSHAKE_S = 0.1
"""TCP handshakes under way at a listening port are expected to finish within this time."""
FIRST_REQUEST_S = 1.0
"""A client that has connected is expected to send its first request within this time."""
SO_ATTACH_FILTER = 26
"""Linux's number of the socket option, for which Python has no constant."""
DROP_SYN = (
    (0x30, 0, 0, 13),  # load the flags byte of the TCP header
    (0x45, 0, 1, 0x02),  # jump on SYN
    (0x06, 0, 0, 0),  # drop
    (0x06, 0, 0, 0xFFFFFFFF),  # accept
)
"""A BPF program of the kernel's ``sock_filter`` entries: code, two jumps, value."""

UNREAD_BYTES = 64 * 1024
"""What the kernel may hold of a connection that is not read for now.

Not below the largest segment, that of a loopback interface, for which a sender would wait.
"""
LAST_DATA_RECEIVED_OFFSET = 52
"""Place of ``tcpi_last_data_recv``, in milliseconds, in Linux's ``tcp_info``."""
TCP_INFO_BYTES = LAST_DATA_RECEIVED_OFFSET + 4
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
CLOSE_IN_ORDER = struct.pack("ii", 0, 0)
"""Values of ``SO_LINGER``: whether it is on, and for how many seconds a close may linger."""


def set_user_timeout(transport: Any, timeout_s: float) -> None:
    """Close the connection when the peer has acknowledged nothing for ``timeout_s``.

    In a network partition no reset arrives, and without this option a connection hangs for many
    minutes. Keep-alive probes detect a lost peer on idle connections, too. 0 changes nothing. A
    transport without a socket (in tests) is left unchanged.
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
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    except (AttributeError, OSError):
        return


def unread_bytes(transport: Any, most: int) -> bytes:
    """Return up to ``most`` bytes that the socket holds and the reactor has not read yet.

    They stay there to be read. A transport without a socket (in tests) has none.
    """
    handle = getattr(transport, "getHandle", None)
    if handle is None:
        return b""
    try:
        return bytes(handle().recv(most, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except (AttributeError, OSError):
        return b""


def has_unread_bytes(transport: Any) -> bool:
    """Tell whether the socket holds bytes that the reactor has not read yet.

    Closing such a connection resets it, and the peer's request is never answered. A transport
    without a socket (in tests) has none.
    """
    return bool(unread_bytes(transport, 1))


def unread_for_s(transport: Any) -> float:
    """Return for how long the bytes that came last have been in the kernel, in seconds.

    Where they have not been read yet, or just now, that is how long they waited for this process.
    0 without a socket (in tests), and where the system does not tell.
    """
    handle = getattr(transport, "getHandle", None)
    option = getattr(socket, "TCP_INFO", None)
    if handle is None or option is None:
        return 0.0
    try:
        info = handle().getsockopt(socket.IPPROTO_TCP, option, TCP_INFO_BYTES)
    except (AttributeError, OSError):
        return 0.0
    if len(info) < TCP_INFO_BYTES:
        return 0.0
    (milliseconds,) = struct.unpack_from("=I", info, LAST_DATA_RECEIVED_OFFSET)
    return float(milliseconds) / MILLISECONDS_PER_S


def unsent_bytes(transport: Any) -> int:
    """Return how many written bytes the kernel has not taken yet; 0 without a socket (in tests)."""
    buffered = getattr(transport, "dataBuffer", None)
    if buffered is None:
        return 0
    return len(buffered) - int(transport.offset) + int(transport._tempDataLen)


def limit_unread_bytes(transport: Any) -> None:
    """Have the kernel hold about ``UNREAD_BYTES`` that the process does not read for now.

    What has arrived already stays. A transport without a socket (in tests) is left unchanged.
    """
    handle = getattr(transport, "getHandle", None)
    if handle is None:
        return
    try:
        handle().setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES)
    except (AttributeError, OSError):
        return


def close_now(transport: Any) -> None:
    """Reset a connection in this turn, so that its descriptor is free at once."""
    if not hasattr(transport, "getHandle"):
        transport.abortConnection()
        return
    reset_at_close(transport)
    transport.connectionLost(Failure(ConnectionAborted()))


def close_if_nothing_unread(transport: Any, close_behind_writes: Callable[[], None]) -> bool:
    """Close a connection in this turn unless it has unread bytes; tell whether it closes.

    A connection that still has bytes to send, or no socket (in tests), is closed by
    ``close_behind_writes`` instead.
    """
    if has_unread_bytes(transport):
        return False
    has_socket = hasattr(transport, "getHandle")
    if not has_socket or transport in transport.reactor.getWriters():
        close_behind_writes()
    else:
        transport.connectionLost(Failure(ConnectionDone()))
    return True


def ignore_new_connections(port: Any) -> None:
    """Have the kernel drop new attempts to connect to a port; handshakes under way continue.

    The client's kernel retries after a second, and is refused once the port is closed. So the
    client knows for certain that nothing was read.
    """
    program = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *each) for each in DROP_SYN))
    filter_program = struct.pack("HP", len(DROP_SYN), ctypes.addressof(program))
    try:
        port.socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, filter_program)
    except OSError as error:
        logger.bind(error=str(error)).warning("port_not_filtered")


def accept_and_close(port: Any) -> None:
    """Accept all connections in a listening port's queue and close the port, in one turn.

    Closing resets connections left in the queue, with the requests that were sent on them.
    """
    _accept_waiting(port)
    port.stopReading()
    port.connectionLost(Failure(ConnectionDone()))


def _accept_waiting(port: Any) -> None:
    queue = select.poll()
    queue.register(port.fileno(), select.POLLIN)
    for _ in range(MAX_ACCEPT_CALLS):
        if not queue.poll(0):
            return
        port.doRead()


def reset_at_close(transport: Any) -> None:
    """Make every close of the connection a reset, also the kernel's when the process dies."""
    _set_linger(transport, RESET_AT_CLOSE)


def close_in_order(transport: Any) -> None:
    """Undo ``reset_at_close``: a close sends what was written, followed by FIN."""
    _set_linger(transport, CLOSE_IN_ORDER)


def _set_linger(transport: Any, linger: bytes) -> None:
    """Set ``SO_LINGER``; a transport without a socket (in tests) is left unchanged."""
    handle = getattr(transport, "getHandle", None)
    if handle is None:
        return
    try:
        handle().setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except (AttributeError, OSError):
        return
