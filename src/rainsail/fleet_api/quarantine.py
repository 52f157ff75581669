"""Operators' calls about held (quarantined) requests: list them and release one."""

from typing import Any

from rainsail.errors import Fault, FaultCode
from rainsail.fleet_api.replies import STATUS_UNAVAILABLE, reply_fault, reply_when_done
from rainsail.http.exchange import Exchange, watch_client
from rainsail.quarantine.control import QuarantineControl
from rainsail.quarantine.fingerprint import (
    DIGEST_BYTES,
    PART_FINGERPRINT_BYTES,
    Fingerprint,
    fingerprint_hex,
)
from rainsail.quarantine.messages import QuarantineNotice
from rainsail.state.cluster_commands import QuarantinedRequest

HELD_REQUESTS = "/v1/held-requests"


def take_quarantine_call(exchange: Exchange, quarantine: QuarantineControl) -> bool:
    """Handle ``GET /v1/held-requests`` and ``DELETE /v1/held-requests/FINGERPRINT``.

    Returns False for any other call, which is not answered.
    """
    method = exchange.request.method
    path = exchange.request.target.decode("latin-1").partition("?")[0]
    if path == HELD_REQUESTS and method == b"GET":
        reply_when_done(
            exchange,
            quarantine.read(),
            lambda notice: _list(quarantine, notice),
            unknown_outcome_status=STATUS_UNAVAILABLE,
        )
        return True
    if path.startswith(f"{HELD_REQUESTS}/") and method == b"DELETE":
        _release(exchange, quarantine, path.rpartition("/")[2])
        return True
    return False


def _list(quarantine: QuarantineControl, notice: QuarantineNotice) -> dict[str, Any]:
    """Return each request's fingerprint, whether it is held now, and how often it was held.

    A prompt part comes with its service and id, if nodes have told this controller.
    """
    return {"requests": [_entry(quarantine, each) for each in notice.quarantine.requests]}


def _entry(quarantine: QuarantineControl, request: QuarantinedRequest) -> dict[str, Any]:
    entry = {
        "fingerprint": fingerprint_hex(request.fingerprint),
        "held": request.held,
        "times": request.times,
    }
    named = quarantine.name_of_part(request.fingerprint)
    if named is not None:
        entry.update({"service": named.service, "part": named.part})
    return entry


def _release(exchange: Exchange, quarantine: QuarantineControl, name: str) -> None:
    fingerprint = _fingerprint(name)
    if fingerprint is None:
        detail = f"expected {2 * DIGEST_BYTES} hexadecimal digits, got {name[:80]!r}"
        reply_fault(exchange, Fault(FaultCode.INVALID, "fleet_api.quarantine", detail))
        return
    done = quarantine.release(fingerprint, watch_client(exchange))
    reply_when_done(
        exchange,
        done,
        lambda notice: _list(quarantine, notice),
        unknown_outcome_status=STATUS_UNAVAILABLE,
    )


def _fingerprint(name: str) -> Fingerprint | None:
    try:
        fingerprint = bytes.fromhex(name)
    except ValueError:
        return None
    return fingerprint if len(fingerprint) in (DIGEST_BYTES, PART_FINGERPRINT_BYTES) else None
