"""Reads an answer from a socket with the standard library's HTTP client."""

import http.client
import socket
import threading


def read_answer(client: socket.socket) -> bytes | None:
    """Return the body of an answer that looks complete to a client; None for a broken one."""
    response = http.client.HTTPResponse(client)
    try:
        response.begin()
        return response.read()
    except (http.client.HTTPException, ConnectionError):
        return None
    finally:
        response.close()


class AnswerReader:
    """Reads an answer in a thread as it arrives, so that the server never waits for the client."""

    def __init__(self, client: socket.socket) -> None:
        self._client = client
        self._body: bytes | None = None
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._thread.start()

    def _read(self) -> None:
        self._body = read_answer(self._client)

    def body(self, limit_s: float) -> bytes | None:
        """Wait for the answer's end; return its body as ``read_answer`` does."""
        self._thread.join(limit_s)
        assert not self._thread.is_alive(), "the answer has not ended"
        return self._body
