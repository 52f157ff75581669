"""The rules of a sending node in a drawn course: permits of trials, and where requests go."""

import random
from collections.abc import Callable, Sequence

from features.support.course_controllers import CourseControllers
from features.support.course_world import CourseRequest, CourseRunner, names_of

from rainsail.quarantine.fingerprint import Fingerprint
from rainsail.quarantine.messages import PermitEnded, RequestPermit
from rainsail.quarantine.trial_order import TrialAsk, TrialOrder
from rainsail.quarantine.trial_placement import TrialSite, best_trial_sites

PERMIT_USE_S = 1.0
"""How long a permit waits for a free slot."""
ASK_AGAIN_S = 0.2


class CoursePermits:
    """The permits that the sender has asked for."""

    def __init__(self, controllers: CourseControllers, say: Callable[[str], None]) -> None:
        self._controllers = controllers
        self._say = say
        self._order = TrialOrder()
        self._refused_s: dict[tuple[Fingerprint, ...], float] = {}
        self._numbers = 0

    def may_run(self, request: CourseRequest, unproven: tuple[Fingerprint, ...]) -> bool:
        """Tell whether a request has a permit for these entries; ask for one if it has none."""
        now = self._controllers.clock.seconds()
        if now <= request.permit_until_s and set(request.permit_of).issuperset(unproven):
            return True
        self.end(request, has_run=False)
        request.asked += 1
        if not self._order.is_next(TrialAsk(frozenset(unproven), request.ends), now):
            return False
        if now - self._refused_s.get(unproven, float("-inf")) < ASK_AGAIN_S:
            return False
        self._refused_s[unproven] = now
        self._numbers += 1
        number = self._numbers

        def decided(is_permitted: bool) -> None:
            if is_permitted:
                self._say(f"permit of {names_of(unproven)} for {request.name}")
                request.permit, request.permit_of = number, unproven
                request.permit_until_s = self._controllers.clock.seconds() + PERMIT_USE_S

        self._controllers.ask(RequestPermit(number, unproven), decided)
        return False

    def end(self, request: CourseRequest, has_run: bool) -> None:
        """Tell the controllers that a permit was not used, or that its runner has survived."""
        if request.permit:
            if not has_run:
                self._say(f"{request.name} gives its permit back")
            self._controllers.send(PermitEnded(request.permit, has_run))
        self.forget(request)

    @staticmethod
    def forget(request: CourseRequest) -> None:
        """Say nothing of a permit whose run has met a crash."""
        request.permit, request.permit_of, request.permit_until_s = 0, (), -1.0


class CoursePlacement:
    """Chooses among the runners with free slots, as far as the sender knows."""

    def __init__(
        self,
        draw: random.Random,
        runners: Sequence[CourseRunner],
        slots: int,
        controllers: CourseControllers,
    ) -> None:
        self._draw = draw
        self._runners = runners
        self._slots = slots
        self._controllers = controllers

    def place(self, request: CourseRequest, is_trial: bool) -> CourseRunner | None:
        """Return the runner for a request, None without a free slot."""
        known = [each for each in self._runners if not each.is_known_down]
        free = [each for each in known if len(each.runs) < self._slots]
        if is_trial:
            best = {site.runner for site in best_trial_sites([self._site(each) for each in free])}
            free = [each for each in free if each.runner in best]
        elif self._is_suspect(request):
            free = [each for each in free if not self._suspects_at(each)] or free
        if not free:
            return None
        least = min(len(each.runs) for each in free)
        return self._draw.choice([each for each in free if len(each.runs) == least])

    def _site(self, runner: CourseRunner) -> TrialSite:
        now = self._controllers.clock.seconds()
        suspects = self._suspects_at(runner)
        return TrialSite(
            runner.runner,
            runner.zone,
            runner.is_known_down,
            False,
            now - runner.started_s,
            now - runner.crashed_s,
            suspects,
            len(runner.runs),
        )

    def _suspects_at(self, runner: CourseRunner) -> int:
        return sum(self._is_suspect(run.request) for run in runner.runs)

    def _is_suspect(self, request: CourseRequest) -> bool:
        wants = self._controllers.view.wants_answer
        return bool(request.ends) or any(map(wants, request.fingerprints))
