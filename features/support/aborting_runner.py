"""A runner on plain sockets that starts a response and aborts it on command."""

import contextlib
import socket
import struct
import threading

RESET_AT_CLOSE = struct.pack("ii", 1, 0)
"""``SO_LINGER`` value that makes a close send a reset."""
BODY_BYTES = 512 * 1024
"""Enough that a gateway forwards the first bytes before the response ends."""
HEAD = b"HTTP/1.1 200 OK\r\n"
FRAMINGS = {
    "without a length": (b"\r\n", b""),
    "in chunks": (b"Transfer-Encoding: chunked\r\n\r\n", b"%x\r\n" % (2 * BODY_BYTES)),
    "with a length": (b"Content-Length: %d\r\n\r\n" % (2 * BODY_BYTES), b""),
}


class AbortingRunner:
    """Accepts connections in a thread and starts the same response on each."""

    def __init__(self, ip: str, port: int, framing: str) -> None:
        fields, before_body = FRAMINGS[framing]
        self._after_identity = fields + before_body + b"x" * BODY_BYTES
        self._listening = socket.create_server((ip, port))
        self._connections: list[socket.socket] = []
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._listening.accept()
            except OSError:
                return
            self._connections.append(connection)
            threading.Thread(target=self._answer, args=(connection,), daemon=True).start()

    def _answer(self, connection: socket.socket) -> None:
        request = b""
        while b"\r\n\r\n" not in request:
            piece = connection.recv(65536)
            if not piece:
                return
            request += piece
        identity = _field(request, b"rainsail-request")
        connection.sendall(HEAD + identity + self._after_identity)

    def break_off(self, how: str) -> None:
        """Abort the responses in progress, by a reset or by an orderly close."""
        for connection in self._connections:
            if how == "resets":
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            else:
                _shut_down(connection)
            connection.close()
        self._connections.clear()

    def close(self) -> None:
        """Stop listening and close every connection."""
        self._listening.shutdown(socket.SHUT_RDWR)
        self._listening.close()
        self.break_off("closes")


def _field(request: bytes, name: bytes) -> bytes:
    lines = request.split(b"\r\n")
    found = next(line for line in lines if line.lower().startswith(name))
    return found + b"\r\n"


def _shut_down(connection: socket.socket) -> None:
    """Shut down in order; the peer may have closed the connection already."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
