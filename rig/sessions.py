"""Long-lived sessions: turn after turn, each answer depends on the whole transcript."""

from collections.abc import Callable
from typing import Any

from rainsail.emulator.answers import expected_answer
from rainsail.errors import Outcome
from rainsail.resources.specs import Kind, RequestClass
from rainsail.runtime.clock import sleep
from rig.callers import RigCaller, RigRequest
from rig.operators import RigOperator
from rig.traffic import Traffic, Users

TURN_PERIOD_S = 1.5
TURN_TOKENS = 24
TURNS_PER_SESSION = 8
DECLARED_PAUSE_S = 0.5


class SessionTraffic(Traffic):
    """Runs a few sessions; a session with a turn that did not complete is replaced by a new one."""

    def __init__(
        self,
        users: Users,
        operator: RigOperator,
        model: str,
        count: int,
        failed: Callable[[Any], None],
    ) -> None:
        super().__init__(users, failed)
        self._operator = operator
        self._model = model
        self._count = count
        self._sessions = 0
        self.turns_completed = 0

    def start(self) -> None:
        """Start every session."""
        for _ in range(self._count):
            self._run_counted(self._follow())

    async def _follow(self) -> None:
        while not self._stopped:
            self._sessions += 1
            await self._run_session(f"talk-{self._sessions}")

    async def _run_session(self, session: str) -> None:
        tenant = self._users.draw.choice(self._users.layout.tenants)
        spec = {"tenant": tenant, "service": self._model, "adapter": ""}
        await self._operator.declare(Kind.SESSION, session, spec)
        await sleep(self._users.clock, DECLARED_PAUSE_S)
        transcript = ""
        for turn in range(TURNS_PER_SESSION):
            if self._stopped:
                return
            planned = self._turn(session, tenant, turn, transcript)
            caller = RigCaller(self._users, planned, self._users.draw.randrange(100))
            if await caller.run() != Outcome.COMPLETED:
                return
            self.turns_completed += 1
            transcript += planned.prompt + planned.expected_text
            await sleep(self._users.clock, self._users.draw.uniform(0.1, TURN_PERIOD_S))

    def _turn(self, session: str, tenant: str, turn: int, transcript: str) -> RigRequest:
        prompt = f"Turn {turn} of {session}: where is the next one now? "
        return RigRequest(
            request_id=f"{session}-turn-{turn}",
            tenant=tenant,
            model=self._model,
            class_=RequestClass.ONLINE,
            prompt=prompt,
            max_tokens=TURN_TOKENS,
            seed=turn,
            stream=True,
            expected_text=expected_answer(self._model, transcript + prompt, TURN_TOKENS, turn),
            session=session,
        )
