from __future__ import annotations

import pytest

from primroseford.jobs.run import ItemRun
from primroseford.jobs.run import RunOutcome
from primroseford.jobs.scheduler import JobScheduler
from primroseford.jobs.state import Item
from primroseford.jobs.state import Job


def create_item() -> ItemRun:
    """Return an item that has not run yet."""
    item = Item("it0", "/notes/it0", {}, "", 1)
    return ItemRun(Job("job1", None, "vans.example", "/notes/", 0.0, (item,)), item, 0)


@pytest.mark.parametrize(
    ("runs", "delay"), [(1, 0.05), (2, 0.2), (3, 0.8), (4, 3.2), (5, 5.0), (2000, 5.0)]
)
def test_item_is_repeated_at_once_after_each_interruption(runs, delay):
    """Guards against an item that crashes runner after runner, and against overflow."""
    item = create_item()
    for _ in range(runs):
        found = JobScheduler._retry_delay(item, RunOutcome.BROKEN)
    assert found == pytest.approx(delay)


def test_item_waits_long_after_interruptions_with_progress():
    """Guards against the delay of a bad item for one that gets on between them."""
    item = create_item()
    for _ in range(4):
        JobScheduler._retry_delay(item, RunOutcome.BROKEN)
    item.data.append("token")
    assert JobScheduler._retry_delay(item, RunOutcome.BROKEN) == pytest.approx(0.05)
    assert JobScheduler._retry_delay(item, RunOutcome.REFUSED) == pytest.approx(0.1)
