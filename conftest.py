"""Settings for all tests: repeatable hypothesis runs and recorded faults."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
import structlog
from hypothesis import HealthCheck
from hypothesis import settings

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"
TEST_FIELD = "test:"

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
    """Undo what a test configures, so that no test logs to a closed stream."""
    yield
    structlog.reset_defaults()


def known_red_tests() -> set[str]:
    """Return the node ids recorded in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix(TEST_FIELD).strip()
        for line in lines
        if line.startswith(TEST_FIELD)
    }


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Report recorded faults as expected failures; all other tests must pass."""
    recorded = known_red_tests()
    for item in items:
        if item.nodeid in recorded:
            mark = pytest.mark.xfail(reason="recorded in KNOWN-RED.txt", strict=False)
            item.add_marker(mark)
