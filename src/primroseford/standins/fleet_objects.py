"""Example objects as the platform's operators and runners write them."""

from __future__ import annotations

from typing import Any

HOST = "vans.example"
KEY = "key-of-caroni"
FIRST_START_MS = 1_700_000_000_000
"""Unix time of a runner's first start in milliseconds."""
RESUMES = "Resumes"
"""Header in which a client that resumes a stream names the request that began it."""


def configuration(
    version: int = 1, keys: tuple[str, ...] = (KEY,), **changes: Any
) -> dict[str, Any]:
    """Return a configuration as an operator writes it.

    :param keys: API keys of its only organisation
    :param changes: top-level fields to replace
    """
    common = {
        "host": HOST,
        "timeout_ms": 5000,
        "slo_ms": 300,
        "priority": 0,
        "service": "models",
        "public": False,
    }
    routes = [
        ("/nudge/", "streaming", {"max_attempts": 1, "resumable": False}),
        ("/pick/", "streaming", {"max_attempts": 2, "resumable": True}),
        ("/ping/", "idempotent", {"max_attempts": 2}),
        ("/once/", "non_idempotent", {"max_attempts": 1}),
        (
            "/notes/",
            "batch",
            {
                "max_attempts": 3,
                "due_ms": 18_000,
                "max_wait_s": 60,
                "max_count": 10_000,
            },
        ),
    ]
    content = {
        "version": version,
        "routes": [
            {**common, "name": f"r{number}", "path_prefix": prefix, "kind": kind}
            | fields
            for number, (prefix, kind, fields) in enumerate(routes)
        ],
        "services": [
            {
                "name": "models",
                "health_path": "/health",
                "max_conns": 100,
                "engine": {"slots": 8},
            }
        ],
        "limits": {"max_body_bytes": 4_194_304, "idle_timeout_ms": 15_000},
        "tenants": [
            {
                "name": "caroni",
                "api_keys": list(keys),
                "rate_per_s": 1000,
                "burst": 1000,
            }
        ],
    }
    return content | changes


def runner_entry(address: str, **changes: Any) -> dict[str, Any]:
    """Return the entry of a runner in the platform's runner list."""
    return {
        "service": "models",
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 1,
        "born": FIRST_START_MS,
    } | changes
