"""Rotates a tenant's API key, to find out which configuration revision each gateway serves.

A gateway that accepts a key holds a revision in which that key is valid. This shows from outside,
without relying on the gateway's own reports, whether it still accepts a revoked key, and whether
its configuration ever went back to an earlier revision, also across restarts.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rainsail.experiment.history import GatewayAdmitted, GatewayApplied
from rainsail.resources.specs import Kind
from rainsail.runtime.clock import sleep
from rainsail.state.commands import ANY_REVISION, MUST_NOT_EXIST
from rainsail.wire.keys import api_key_hash
from rig.http import AnswerLost
from rig.layout import CALLER_PORT, ProcessPlan
from rig.operators import RigOperator
from rig.traffic import Traffic, Users

TENANT = "rotating"
TOKENS_PER_S = 10_000.0
ROTATION_PERIOD_S = 3.0
PROBE_PERIOD_S = 0.25
PROBE_TIMEOUT_S = 20.0
OLD_KEYS_PROBED = 5
MAX_OPEN_PROBES = 120
"""Maximum probes in progress at a time, including hanging ones."""


@dataclass(frozen=True, slots=True)
class RotatedKey:
    """A key and the revision that introduced it."""

    secret: str
    revision: int


class KeyRotation(Traffic):
    """Rotates the key, and probes every gateway with the newest and older keys."""

    def __init__(
        self, users: Users, operator: RigOperator, model: str, failed: Callable[[Any], None]
    ) -> None:
        super().__init__(users, failed)
        self._operator = operator
        self._model = model
        self._keys: list[RotatedKey] = []
        self._known: dict[str, int] = {}
        self.probes = 0
        self.taken = 0

    def start(self) -> None:
        """Start rotating keys and probing."""
        self._run_counted(self._rotate())
        for gateway in self._users.layout.gateways:
            self._run_counted(self._probe_on(gateway))

    async def _rotate(self) -> None:
        expected = MUST_NOT_EXIST
        while not self._stopped:
            secret = f"{TENANT}-key-{len(self._keys)}"
            spec = {
                "tokens_per_second": TOKENS_PER_S,
                "burst_tokens": TOKENS_PER_S,
                "weight": 1.0,
                "key_hashes": [api_key_hash(secret)],
                "operator": False,
            }
            revision = await self._operator.put(Kind.TENANT, TENANT, spec, expected)
            expected = ANY_REVISION
            self._keys.append(RotatedKey(secret, revision))
            await sleep(self._users.clock, ROTATION_PERIOD_S)

    async def _probe_on(self, gateway: ProcessPlan) -> None:
        """Start a probe every period, even while others hang at a paused gateway."""
        turn = 0
        while not self._stopped:
            await sleep(self._users.clock, PROBE_PERIOD_S)
            if self._keys and self._open < MAX_OPEN_PROBES:
                back = min(turn % (OLD_KEYS_PROBED + 1), len(self._keys) - 1)
                self._run_counted(self._probe(gateway, len(self._keys) - 1 - back))
                turn += 1

    async def _probe(self, gateway: ProcessPlan, number: int) -> None:
        begun_s = self._users.clock.seconds()
        known = self._known.get(gateway.name, 0)
        self.probes += 1
        body = {"model": self._model, "prompt": "Is this key in force?", "max_tokens": 1}
        url = f"{gateway.url(CALLER_PORT)}/v1/completions"
        key = self._keys[number]
        try:
            reply = await self._users.http.exchange("POST", url, key.secret, PROBE_TIMEOUT_S, body)
        except AnswerLost:
            return
        if reply.status == 200:
            self._record_accepted_probe(gateway.name, number, begun_s, known)

    def _record_accepted_probe(self, gateway: str, number: int, begun_s: float, known: int) -> None:
        """Record which revisions a gateway that accepted a key can hold.

        It held the key's revision or a later one, but one before the next key's. It admitted the
        request at the time of the send at the earliest; ``known`` is the revision that it held by
        then, so a latest possible revision below it is a regression.
        """
        self.taken += 1
        held = max(self._known.get(gateway, 0), self._keys[number].revision)
        self._known[gateway] = held
        self._applied(gateway, held)
        if number + 1 < len(self._keys):
            latest = self._keys[number + 1].revision - 1
            self._users.history.record(GatewayAdmitted(begun_s, gateway, gateway, latest))
            if latest < known:
                self._applied(gateway, latest)

    def _applied(self, gateway: str, revision: int) -> None:
        now_s = self._users.clock.seconds()
        self._users.history.record(GatewayApplied(now_s, gateway, gateway, revision))
