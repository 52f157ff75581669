"""A configuration of the platform with every field, and what was read of it, as lines of text."""

from collections.abc import Iterator
from typing import Any

from rainsail.tenancy.tenants import digest_of

KEY = b"key-of-the-shop"
FULL_CONFIGURATION: dict[str, Any] = {
    "version": 3,
    "routes": [
        {
            "name": "split",
            "host": "a.example",
            "pathPrefix": "/split/",
            "kind": "streaming",
            "timeoutMs": 5000,
            "targetLatencyMs": 400,
            "maxAttempts": 3,
            "priority": 2,
            "resumable": True,
            "gapTargetMs": 600,
            "completionTargetMs": 7000,
            "keepS": 8,
            "maxQueuedTokens": 900,
            "public": True,
            "allowedRegions": ["south"],
            "split": [{"service": "first", "weight": 90}, {"service": "second", "weight": 10}],
        },
        *(
            {
                "name": kind,
                "host": "a.example",
                "pathPrefix": f"/{kind}/",
                "kind": kind,
                "timeoutMs": 1000,
                "service": "second",
            }
            for kind in ("safe", "unsafe", "batch", "of another kind")
        ),
    ],
    "services": [
        {"name": "first", "maxConnections": 20, "engine": {}, "coldPerS": 1.5, "coldStartS": 30},
        {"name": "second"},
    ],
    "limits": {
        "maxHeaderBytes": 1000,
        "maxBodyBytes": 2000,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 4000,
    },
    "tenants": [
        {
            "name": "shop",
            "apiKeys": [KEY.decode()],
            "ratePerS": 11,
            "burst": 12,
            "priority": 4,
            "allowedRegions": ["north"],
        }
    ],
}


def table_view(table: Any) -> Iterator[str]:
    """Describe a routing table."""
    yield f"version {table.version}"
    for route in table.routes:
        shares = ", ".join(f"{share.service} {share.weight:g}" for share in route.shares)
        yield (
            f"route {route.name} at {route.host}{route.prefix}: {route.kind} to {shares}, "
            f"times {route.timeout_s:g} {route.target_s:g} {route.gap_target_s:g} "
            f"{route.completion_s:g} {route.kept_s:g} s, attempts {route.max_attempts}, "
            f"priority {route.priority}, resumable {route.resumable}, "
            f"queued tokens {route.max_queued_tokens}, public {route.public}, "
            f"regions {sorted(route.allowed_regions)}"
        )
    for service in table.services.values():
        warm_up = service.warm_up
        yield (
            f"service {service.name}: connections {service.max_connections}, "
            f"generates {service.generates}, "
            f"warms up {warm_up.rate_per_s:g}/s {warm_up.lasts_s:g} s"
        )
    limits = table.limits
    yield (
        f"limits {limits.max_header_bytes} {limits.max_body_bytes} bytes, "
        f"{limits.header_timeout_s:g} {limits.idle_timeout_s:g} s"
    )
    for tenant in table.tenants.tenants.values():
        yield (
            f"tenant {tenant.name}: rate {tenant.limit.rate_per_s:g}, burst "
            f"{tenant.limit.burst:g}, priority {tenant.priority}, "
            f"regions {sorted(tenant.allowed_regions)}, has its key {digest_of(KEY) in tenant.keys}"
        )
