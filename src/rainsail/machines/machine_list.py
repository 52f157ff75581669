"""The platform's list of live and leaving machines, read over HTTP.

The list may be out of date. It is one of several signals that a machine is leaving (besides the
engine's own report and missed heartbeats); the earliest one counts.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError
from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from rainsail.errors import Fault, FaultCode
from rainsail.http.bounded_body import BodyTooLargeError, read_body

MAX_LIST_BYTES = 8 * 1024 * 1024
"""Largest response accepted; 12,000 machines take about 1.5 MB."""

_FETCH_STEP = "machine_list.fetch"


class MachineState(StrEnum):
    """Whether a machine may take new work."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Machine:
    """One machine as the platform lists it; ``address`` is host and port, or a base URL."""

    name: str
    address: str
    state: MachineState = MachineState.LIVE


MACHINES = TypeAdapter(tuple[Machine, ...])
"""Validates and serializes the list's JSON form."""


class MachineListClient(Protocol):
    """Reads the list."""

    def fetch(self) -> "Deferred[Result[tuple[Machine, ...], Fault]]":
        """Return the machines in name order; never errbacks."""
        ...


class HttpMachineListClient:
    """Reads the list from ``GET <base URL>/machines``."""

    def __init__(self, agent: Any, base_url: str, timeout_s: float = 5.0) -> None:
        self._http = HTTPClient(agent)
        self._url = f"{base_url.rstrip('/')}/machines"
        self._timeout_s = timeout_s

    def fetch(self) -> "Deferred[Result[tuple[Machine, ...], Fault]]":
        """Read the list; UNAVAILABLE if it cannot be read, INTERNAL if it is malformed."""
        fetched: Deferred[Any] = Deferred.fromCoroutine(self._fetch())
        return fetched.addErrback(self._failed)

    async def _fetch(self) -> Result[tuple[Machine, ...], Fault]:
        response = await self._http.get(self._url, timeout=self._timeout_s, unbuffered=True)
        try:
            body = await read_body(response, MAX_LIST_BYTES)
        except BodyTooLargeError as error:
            return Error(self._fault(FaultCode.TOO_LARGE, str(error)))
        if response.code != 200:
            return Error(self._fault(FaultCode.UNAVAILABLE, f"status {response.code}"))
        try:
            return Ok(MACHINES.validate_json(body))
        except ValidationError as error:
            detail = f"malformed list: {error.error_count()} errors"
            return Error(self._fault(FaultCode.INTERNAL, detail))

    def _failed(self, failure: Failure) -> Result[tuple[Machine, ...], Fault]:
        return Error(self._fault(FaultCode.UNAVAILABLE, str(failure.value) or str(failure.type)))

    def _fault(self, code: FaultCode, detail: str) -> Fault:
        return Fault(code, _FETCH_STEP, detail, self._url)
