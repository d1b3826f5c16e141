"""Test configuration: Hypothesis profiles and known failures (KNOWN-RED.txt)."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
import structlog
from hypothesis import HealthCheck
from hypothesis import settings

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"
TEST_PREFIX = "test:"

settings.register_profile(
    "repeatable",
    derandomize=True,
    deadline=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile(
    "fuzz",
    max_examples=3_000,
    deadline=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile(os.environ.get("PRIMROSEFORD_TEST_PROFILE", "repeatable"))


@pytest.fixture(autouse=True)
def default_logging():
    """Reset structlog after each test; later tests must not log to a closed stream."""
    yield
    structlog.reset_defaults()


def known_red_tests() -> set[str]:
    """Return the node ids of the tests listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    }


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark tests listed in KNOWN-RED.txt as expected failures."""
    known_red = known_red_tests()
    for item in items:
        if item.nodeid in known_red:
            mark = pytest.mark.xfail(reason="recorded in KNOWN-RED.txt", strict=False)
            item.add_marker(mark)
