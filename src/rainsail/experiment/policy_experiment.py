"""Every policy on the same trace of one site, and what came of it."""

from dataclasses import dataclass

from rainsail.batch.policies import POLICIES
from rainsail.batch.settings import BatchSettings
from rainsail.experiment.capacity_bound import BatchShape, OnlineTokens, batch_token_bound
from rainsail.experiment.measures import OnlineRecord, RunRecord, percentile
from rainsail.experiment.site_run import SiteRun
from rainsail.experiment.sites import SITES, SitePreset
from rainsail.experiment.workload import Workload, make_workload

BASELINE = "none"
PING = "ping"


@dataclass(frozen=True, slots=True)
class PolicyOutcome:
    """One policy's figures.

    Online latencies are end to end at the caller, of every request to the language model:
    ``online_p50_s`` and ``online_p99_s`` until the first token, ``answer_p99_s`` until the
    whole answer. ``harm`` and ``answer_harm`` divide by those of the run without batch.
    ``step_aside_p99_s`` is the time from when a burst's question reached its gateway until
    its engine took it into the batch.
    """

    policy: str
    batch_items_per_s: float
    batch_tokens_per_s: float
    batch_share_of_bound: float
    online_p50_s: float
    online_p99_s: float
    answer_p50_s: float
    answer_p99_s: float
    harm: float
    answer_harm: float
    step_aside_p99_s: float
    online_requests: int
    online_refused: int
    preempted: int
    least_backlog: int


@dataclass(frozen=True, slots=True)
class ExperimentOutcome:
    """All policies of one run of the experiment; the records are what the plots show."""

    site: SitePreset
    seed: int
    duration_s: float
    bound_tokens_per_s: float
    policies: tuple[PolicyOutcome, ...]
    records: tuple[RunRecord, ...]


def policy_names(choice: str) -> tuple[str, ...]:
    """Return the policies to run: ``all``, or names with commas; the baseline comes first."""
    names = tuple(POLICIES) if choice == "all" else tuple(choice.split(","))
    for name in names:
        if name not in POLICIES:
            raise ValueError(f"no policy {name!r}; one of {', '.join(POLICIES)}")
    return (BASELINE, *(name for name in names if name != BASELINE))


def run_experiment(
    site_name: str, seed: int, duration_s: float, policies: tuple[str, ...]
) -> ExperimentOutcome:
    """Run the policies one after the other on the same trace."""
    if site_name not in SITES:
        raise ValueError(f"no site {site_name!r}; one of {', '.join(SITES)}")
    site = SITES[site_name]
    workload = make_workload(site, seed, duration_s)
    records = []
    for name in policies:
        settings = BatchSettings(policy=name, batch_weight=site.batch_weight)
        records.append(SiteRun(site, seed, workload, duration_s, settings).run())
    bound = _bound_tokens(site, workload, records[0])
    outcomes = tuple(_outcome(record, records[0], bound) for record in records)
    window_s = records[0].window_end_s - records[0].window_start_s
    return ExperimentOutcome(site, seed, duration_s, bound / window_s, outcomes, tuple(records))


def _bound_tokens(site: SitePreset, workload: Workload, baseline: RunRecord) -> float:
    items = [item for job in workload.jobs for item in job.items]
    answer_tokens = sum(item.max_tokens for item in items) / max(1, len(items))
    shape = BatchShape(answer_tokens, site.batch.item.own_tokens)
    window_s = baseline.window_end_s - baseline.window_start_s
    use = OnlineTokens(baseline.generated_tokens, baseline.prefill_tokens)
    return batch_token_bound(site.model_engine, site.model_runners, window_s, use, shape)


def _online(record: RunRecord) -> list[OnlineRecord]:
    """Return the language model's requests of the window that were not refused."""
    return [
        each
        for each in record.online
        if each.kind != PING and not each.refused and record.in_window(each.sent_s)
    ]


def first_token_waits_s(record: RunRecord) -> list[float]:
    """Return the seconds from sending to the first token, of every request that counts."""
    return [_wait_s(each.sent_s, each.first_token_s, record) for each in _online(record)]


def _answer_s(record: RunRecord) -> list[float]:
    return [_wait_s(each.sent_s, each.ended_s, record) for each in _online(record)]


def _wait_s(sent_s: float, seen_s: float | None, record: RunRecord) -> float:
    """Return a wait; one that still lasts at the end of the run counts with its length so far."""
    return (record.window_end_s if seen_s is None else seen_s) - sent_s


def _outcome(record: RunRecord, baseline: RunRecord, bound: float) -> PolicyOutcome:
    window_s = record.window_end_s - record.window_start_s
    commits = [each for each in record.commits if record.in_window(each.at_s)]
    tokens = sum(each.tokens for each in commits)
    first, answer = first_token_waits_s(record), _answer_s(record)
    p99 = percentile(first, 0.99)
    answer_p99 = percentile(answer, 0.99)
    online = [each for each in record.online if each.kind != PING]
    return PolicyOutcome(
        policy=record.policy,
        batch_items_per_s=sum(each.items for each in commits) / window_s,
        batch_tokens_per_s=tokens / window_s,
        batch_share_of_bound=tokens / bound if bound else 0.0,
        online_p50_s=percentile(first, 0.5),
        online_p99_s=p99,
        answer_p50_s=percentile(answer, 0.5),
        answer_p99_s=answer_p99,
        harm=p99 / percentile(first_token_waits_s(baseline), 0.99),
        answer_harm=answer_p99 / percentile(_answer_s(baseline), 0.99),
        step_aside_p99_s=percentile(record.step_aside_s, 0.99),
        online_requests=len(online),
        online_refused=sum(1 for each in online if each.refused),
        preempted=record.preempted,
        least_backlog=min((each.backlog for each in record.samples), default=0),
    )
