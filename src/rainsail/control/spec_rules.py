"""Validation of spec fields and resource names beyond what their types express."""

import re

from rainsail.resources.specs import (
    AdapterSpec,
    GatewaySpec,
    ModelVersionSpec,
    ReplicaSpec,
    ResourceKey,
    RunnerSpec,
    ServiceSpec,
    SessionSpec,
    Spec,
    TenantSpec,
)

NAME_PATTERN = re.compile(r"^[a-z0-9]([a-z0-9._-]{0,126}[a-z0-9])?$")
HASH_PATTERN = re.compile(r"^[0-9a-f]{64}$")


def name_problem(key: ResourceKey) -> str:
    """Return why a resource's name is invalid, or an empty string."""
    if NAME_PATTERN.match(key.name):
        return ""
    return f"name: expected up to 128 of a-z 0-9 . _ - (none of . _ - at an end), got {key.name!r}"


def spec_problem(spec: Spec) -> str:
    """Return the first invalid field and what was expected, or an empty string."""
    if isinstance(spec, ServiceSpec):
        return _at_least("runners", spec.runners, 0) or _fraction("batch_weight", spec.batch_weight)
    if isinstance(spec, ModelVersionSpec | AdapterSpec):
        return (
            _text("service", spec.service)
            or _text("weights", spec.weights)
            or _at_least("weight_bytes", spec.weight_bytes, 0)
        )
    if isinstance(spec, SessionSpec):
        return _text("tenant", spec.tenant) or _text("service", spec.service)
    if isinstance(spec, TenantSpec):
        return _tenant_problem(spec)
    if isinstance(spec, RunnerSpec):
        return _runner_problem(spec)
    if isinstance(spec, GatewaySpec | ReplicaSpec):
        return _text("region", spec.region) or _text("zone", spec.zone)
    return ""


def _tenant_problem(spec: TenantSpec) -> str:
    problem = (
        _at_least("tokens_per_second", spec.tokens_per_second, 0)
        or _at_least("burst_tokens", spec.burst_tokens, 0)
        or _above("weight", spec.weight, 0)
    )
    for number, digest in enumerate(spec.key_hashes):
        if not problem and not HASH_PATTERN.match(digest):
            problem = f"key_hashes.{number}: expected a SHA-256 in 64 lower-case hex digits"
    return problem


def _runner_problem(spec: RunnerSpec) -> str:
    if not spec.address.startswith(("http://", "https://", "sim://")):
        return f"address: expected a base URL, got {spec.address!r}"
    return (
        _text("region", spec.region)
        or _text("zone", spec.zone)
        or _text("service", spec.service)
        or _at_least("batch_slots", spec.batch_slots, 0)
    )


def _text(field: str, value: str) -> str:
    return "" if value else f"{field}: expected a name, got an empty string"


def _at_least(field: str, value: float, least: float) -> str:
    return "" if value >= least else f"{field}: expected at least {least:g}, got {value:g}"


def _above(field: str, value: float, bound: float) -> str:
    return "" if value > bound else f"{field}: expected more than {bound:g}, got {value:g}"


def _fraction(field: str, value: float) -> str:
    return "" if 0 <= value <= 1 else f"{field}: expected between 0 and 1, got {value:g}"
