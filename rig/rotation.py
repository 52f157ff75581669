"""A tenant whose API key is exchanged again and again: shows under which revision gateways serve.

A gateway that takes work under a key has a revision of the time in which that key stood. So from
outside, without a word of the gateway about itself, it can be told whether it still serves under
a key that is no longer in force, and whether its configuration ever went back, restarts included.
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
"""Probes that may be under way at a time, hanging ones included."""


@dataclass(frozen=True, slots=True)
class RotatedKey:
    """A key and the revision at which it came into the configuration."""

    secret: str
    revision: int


class KeyRotation(Traffic):
    """Exchanges the key, and asks every gateway for work under the newest and older keys."""

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
        """Start exchanging keys and probing."""
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
        """Begin a probe every period, also while others hang at a paused gateway."""
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
        """Record what a gateway's work under a key says of its revision.

        It held the key's revision or a later one, but one before the next key's. The earliest
        time at which it can have let the work in is that of the send; ``known`` is the revision
        that it was known to hold by then, so one that ends before it is a fall.
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
