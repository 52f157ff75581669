"""Names of the kinds of faults of runners' answers, on the command line and in features."""

import argparse

from features.support.relay_soak.course_faults import FaultKinds

OPTIONS = {
    "crashes": "have processes of runners end inside answers",
    "empty_runs": "have runs that go on with a stream answered 200 without an event",
    "damaged_framing": "have sizes of chunks and lengths damaged, the rest behind the stated end",
    "statuses": "have answers with a status to which HTTP gives no meaning",
    "lone_closes": "beside these, truncate unframed streams by the close of their connection alone",
}

FAULTS = {
    "whose processes end": FaultKinds(crashes=True),
    "that go on with streams and bring nothing": FaultKinds(empty_runs=True),
    "whose framing is damaged": FaultKinds(damaged_framing=True),
    "whose statuses mean nothing": FaultKinds(statuses=True),
    "whose connections close alone": FaultKinds(lone_closes=True),
    "with all of these faults": FaultKinds(True, True, True, True, lone_closes=True),
}
"""Kinds of faults as features name them."""


def add_fault_options(parser: argparse.ArgumentParser) -> None:
    """Add an option for each kind."""
    for kind, told in OPTIONS.items():
        parser.add_argument(f"--{kind.replace('_', '-')}", action="store_true", help=told)


def faults_of(arguments: argparse.Namespace) -> FaultKinds:
    """Return the kinds that the command line names."""
    return FaultKinds(**{kind: getattr(arguments, kind) for kind in OPTIONS})
