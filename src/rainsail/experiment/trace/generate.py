"""Traces made from a site's mixes of traffic and a seed."""

from collections.abc import Iterator
from random import Random

from rainsail.experiment.trace.records import (
    PromptShape,
    Trace,
    TracedChange,
    TracedItem,
    TracedJob,
    TracedRequest,
    TraceEntry,
    TraceOrigin,
    TraceSource,
    make_trace,
)
from rainsail.resources.specs import Kind, RequestClass, ResourceKey, TenantSpec
from rainsail.simulation.actors.callers import CallerMix
from rainsail.simulation.site_plan import SitePlan

TEMPLATE_CHARACTERS = 200
ONLINE_DEADLINE_S = 30.0
NON_REPEATABLE_DEADLINE_S = 10.0
TENANT_TOKENS_PER_S = 20_000.0
TENANT_BURST_TOKENS = 400_000.0
LONGEST_CANCEL_S = 2.0
HEAP_SPREAD_S = 0.3
FIRST_HEAP_S = 2.0


def generate_trace(
    site: SitePlan, seed: int, duration_s: float, tenants: tuple[str, ...] = ()
) -> Trace:
    """Return the traffic of ``duration_s`` seconds; the same arguments give the same trace."""
    generator = _TraceGenerator(site, seed, duration_s, tenants or site.tenants)
    entries: list[TraceEntry] = []
    for mix in site.callers:
        entries += generator.requests(mix)
    entries += generator.jobs()
    entries += generator.changes()
    origin = TraceOrigin(site.name, TraceSource.GENERATED, seed, duration_s)
    return make_trace(origin, entries)


class _TraceGenerator:
    """Draws each part of the traffic from a generator of its own."""

    def __init__(
        self, site: SitePlan, seed: int, duration_s: float, tenants: tuple[str, ...]
    ) -> None:
        self._site = site
        self._seed = seed
        self._duration_s = duration_s
        self._tenants = tenants

    def _random(self, part: str) -> Random:
        return Random(f"{self._site.name}/{self._seed}/trace/{part}")

    def _times(self, draw: Random, mean_gap_s: float) -> Iterator[float]:
        at_s = draw.expovariate(1 / mean_gap_s)
        while at_s < self._duration_s:
            yield round(at_s, 6)
            at_s += draw.expovariate(1 / mean_gap_s)

    def requests(self, mix: CallerMix) -> list[TraceEntry]:
        """Return the requests of one kind of traffic."""
        draw = self._random(mix.name)
        times = list(self._times(draw, mix.mean_gap_s))
        return [self._request(draw, mix, number, at_s) for number, at_s in enumerate(times)]

    def _request(self, draw: Random, mix: CallerMix, number: int, at_s: float) -> TracedRequest:
        repeatable = mix.class_ != RequestClass.NON_REPEATABLE
        return TracedRequest(
            at_s=at_s,
            request_id=f"{mix.name}-{number + 1}",
            origin=draw.choice(self._site.zones),
            tenant=draw.choice(self._tenants),
            service=mix.model,
            class_=mix.class_,
            prompt=_shape(mix.name, mix.prompt_characters),
            max_tokens=_tokens(draw, mix.max_tokens),
            seed=number + 1,
            deadline_s=ONLINE_DEADLINE_S if repeatable else NON_REPEATABLE_DEADLINE_S,
        )

    def jobs(self) -> list[TraceEntry]:
        """Return the batch jobs, heap by heap."""
        draw = self._random("jobs")
        mix = self._site.jobs
        found: list[TraceEntry] = []
        heap_s = min(FIRST_HEAP_S, self._duration_s / 2)
        while heap_s < self._duration_s:
            for _ in range(mix.jobs_per_heap):
                at_s = round(heap_s + draw.uniform(0.0, HEAP_SPREAD_S), 6)
                found.append(self._job(draw, len(found) + 1, at_s))
            heap_s += mix.heap_period_s
        return found

    def _job(self, draw: Random, number: int, at_s: float) -> TracedJob:
        mix = self._site.jobs
        shape = _shape("item", mix.prompt_characters)
        items = tuple(
            TracedItem(f"item-{index}", shape, _tokens(draw, mix.max_tokens))
            for index in range(mix.items_per_job)
        )
        cancelled = draw.random() < mix.cancel_probability
        return TracedJob(
            at_s=at_s,
            job_key=f"job-{number}",
            origin=draw.choice(self._site.zones),
            tenant=draw.choice(self._tenants),
            service=mix.service,
            deadline_s=mix.deadline_s,
            items=items,
            item_count=len(items),
            cancel_after_s=round(draw.uniform(0.1, LONGEST_CANCEL_S), 6) if cancelled else 0.0,
        )

    def changes(self) -> list[TraceEntry]:
        """Return an operator's changes of the tenants' weights."""
        draw = self._random("changes")
        times = list(self._times(draw, self._site.operator_gap_s))
        return [self._change(draw, number, at_s) for number, at_s in enumerate(times)]

    def _change(self, draw: Random, number: int, at_s: float) -> TracedChange:
        key = ResourceKey(Kind.TENANT, draw.choice(self._tenants))
        weight = 1.0 + (number + 1) / 1000
        spec = TenantSpec(TENANT_TOKENS_PER_S, TENANT_BURST_TOKENS, weight)
        return TracedChange(at_s, f"change-{number + 1}", "operator-1", key, spec)


def _shape(template: str, characters: int) -> PromptShape:
    shared = min(TEMPLATE_CHARACTERS, characters // 2)
    return PromptShape(template, shared, characters - shared)


def _tokens(draw: Random, mean: int) -> int:
    return max(1, round(mean * draw.uniform(0.5, 1.5)))
