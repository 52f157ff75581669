"""A client's persistent connections, as in the session of an HTTP library."""

import http.client
import random
import select
import time
from dataclasses import dataclass, field

CALL_LIMIT_S = 10.0


@dataclass(frozen=True)
class CallResult:
    """The result of a call; status 0 means that there was no complete answer.

    ``is_answered`` tells whether the head of an answer arrived. A call whose connection could not
    be opened was not sent, so it has certainly not run.
    """

    status: int
    body: bytes
    fields: dict[str, str]
    is_sent: bool
    is_answered: bool
    is_first: bool
    """It was the first call on its connection."""
    sent_s: float
    ended_s: float


@dataclass
class PersistentConnections:
    """One client's connections, one per server.

    ``leave_share`` is the share of calls after which the client closes the connection.
    """

    draw: random.Random
    leave_share: float
    _open: dict[tuple[str, int], http.client.HTTPConnection] = field(default_factory=dict)

    def call(
        self, ip: str, port: int, method: str, path: str, body: bytes, fields: dict[str, str]
    ) -> CallResult:
        """Make one call, on the open connection if there is one."""
        connection = self._kept(ip, port)
        is_first = connection.sock is None
        sent_s = time.monotonic()
        is_sent, is_answered = not is_first, False
        status, answer, answer_fields = 0, b"", {}
        try:
            if is_first:
                connection.connect()
                is_sent, sent_s = True, time.monotonic()
            connection.request(method, path, body or None, fields)
            response = connection.getresponse()
            is_answered = True
            answer = response.read()
            status, answer_fields = response.status, dict(response.getheaders())
        except (OSError, http.client.HTTPException):
            self._drop(ip, port)
        if self.draw.random() < self.leave_share:
            self._drop(ip, port)
        ended_s = time.monotonic()
        return CallResult(
            status, answer, answer_fields, is_sent, is_answered, is_first, sent_s, ended_s
        )

    def close(self) -> None:
        """Close all connections."""
        for ip, port in list(self._open):
            self._drop(ip, port)

    def _kept(self, ip: str, port: int) -> http.client.HTTPConnection:
        """Return the connection to a server; a new one if the server has closed the last one."""
        kept = self._open.get((ip, port))
        if kept is not None and kept.sock is not None and _has_ended(kept):
            self._drop(ip, port)
        return self._open.setdefault(
            (ip, port), http.client.HTTPConnection(ip, port, timeout=CALL_LIMIT_S)
        )

    def _drop(self, ip: str, port: int) -> None:
        connection = self._open.pop((ip, port), None)
        if connection is not None:
            connection.close()


def _has_ended(connection: http.client.HTTPConnection) -> bool:
    """Tell whether an idle connection is readable, which means that the server has closed it."""
    return bool(select.select([connection.sock], [], [], 0)[0])
