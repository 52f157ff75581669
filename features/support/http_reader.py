"""Reads an answer from a socket as the standard library's client does."""

import http.client
import socket
import threading


def read_answer(client: socket.socket) -> bytes | None:
    """Return the body that a client takes for whole; None for a broken answer."""
    response = http.client.HTTPResponse(client)
    try:
        response.begin()
        return response.read()
    except (http.client.HTTPException, ConnectionError):
        return None
    finally:
        response.close()


class AnswerReader:
    """Reads an answer as it comes, so that its connection never waits for its client."""

    def __init__(self, client: socket.socket) -> None:
        self._client = client
        self._body: bytes | None = None
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._thread.start()

    def _read(self) -> None:
        self._body = read_answer(self._client)

    def body(self, limit_s: float) -> bytes | None:
        """Wait for the answer's end; return the body taken for whole, None for a broken answer."""
        self._thread.join(limit_s)
        assert not self._thread.is_alive(), "the answer has not ended"
        return self._body
