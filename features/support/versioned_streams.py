"""Clients that read streams of runners of several software versions, and resume them.

Each event's data names the version of the runner that wrote it. A client whose answer breaks off
resumes its stream at any gateway, with the number of its last event and the id of the attempt that
brought the first one.
"""

import http.client
import itertools
import random
import re
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from features.support.platform_stand_in import (
    CLIENT_PORT,
    EVENTS,
    StandInPlatform,
    client_fields,
)

MAX_TRIES = 6
CALL_TIMEOUT_S = 10.0
_EVENT = re.compile(rb"id: (\d+)\ndata: text \d+ of (\S+)\n\n")


@dataclass(frozen=True)
class ReadAttempt:
    """One answer to a client: the versions that wrote its events."""

    sent_s: float
    """When the request was sent, by the monotonic clock."""
    resumes: bool
    versions: tuple[str, ...]


@dataclass
class ReadStream:
    """One stream as its client has it."""

    attempts: list[ReadAttempt] = field(default_factory=list)
    numbers: list[int] = field(default_factory=list)

    @property
    def versions(self) -> set[str]:
        """The versions that wrote the stream's events."""
        return {version for attempt in self.attempts for version in attempt.versions}

    @property
    def is_resumed(self) -> bool:
        """Whether the client has resumed the stream."""
        return any(attempt.resumes for attempt in self.attempts)

    @property
    def mixes_in_one_answer(self) -> bool:
        """Whether one answer has events of two versions."""
        return any(len(set(attempt.versions)) > 1 for attempt in self.attempts)

    @property
    def is_whole(self) -> bool:
        """Whether the client has every event, each once and in order."""
        return self.numbers == list(range(1, EVENTS + 1))


class StreamReaders:
    """Threads that read one stream after the other; ``streams`` holds what they have read."""

    def __init__(self, platform: StandInPlatform, seed: int, clients: int) -> None:
        self.streams: list[ReadStream] = []
        self._platform = platform
        self._numbers = itertools.count(1)
        self._is_over = threading.Event()
        self._threads = [
            threading.Thread(target=self._read_streams, args=(random.Random(f"{seed}-{number}"),))
            for number in range(clients)
        ]

    def run_while(self, course: Callable[[], None]) -> None:
        """Read streams until ``course`` has returned."""
        for thread in self._threads:
            thread.start()
        try:
            course()
        finally:
            self._is_over.set()
            for thread in self._threads:
                thread.join()

    def _read_streams(self, draw: random.Random) -> None:
        while not self._is_over.is_set():
            self.streams.append(self._read_stream(draw))

    def _read_stream(self, draw: random.Random) -> ReadStream:
        stream, first_id = ReadStream(), ""
        for _ in range(MAX_TRIES):
            request = f"read-{next(self._numbers)}"
            fields = {"Request-Id": request}
            if stream.numbers:
                fields.update({"Last-Event-Id": str(stream.numbers[-1]), "Resumes": first_id})
            gateway = draw.choice([name for name in self._platform.nodes if "gateway" in name])
            sent_s, resumes = time.monotonic(), bool(stream.numbers)
            events = self._read_answer(gateway, fields)
            if events and not resumes:
                first_id = request
            stream.numbers += [number for number, _ in events]
            versions = tuple(version for _, version in events)
            stream.attempts.append(ReadAttempt(sent_s, resumes, versions))
            if stream.is_whole:
                break
        return stream

    def _read_answer(self, gateway: str, fields: dict[str, str]) -> list[tuple[int, str]]:
        """Return the complete events of one answer, with the versions that wrote them."""
        ip = self._platform.nodes[gateway].ip
        connection = http.client.HTTPConnection(ip, CLIENT_PORT, timeout=CALL_TIMEOUT_S)
        body = b""
        try:
            connection.request("POST", "/stream/1", b"prompt", {**client_fields(), **fields})
            response = connection.getresponse()
            if response.status == http.client.OK:
                while piece := response.read1(65536):
                    body += piece
        except (OSError, http.client.HTTPException):
            pass  # What came before the break counts.
        finally:
            connection.close()
        return [(int(number), version.decode()) for number, version in _EVENT.findall(body)]
