"""Why the items of a host's jobs wait, for logs and metrics."""

from __future__ import annotations

import math
from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Collection

    from primroseford.gateway.state import Gateway
    from primroseford.jobs.run import ItemRun
    from primroseford.jobs.run import JobRun
    from primroseford.jobs.state import ItemId

WAIT_LOG_INTERVAL_SECONDS = 2.0
"""Minimum time between two rounds of log lines about items that wait."""
LONG_WAIT_SECONDS = 5.0
"""Wait after which an item is named in the log, again after each such time."""
MAX_WAIT_LINES = 5
"""Items that are named in one round."""
MAX_NAMED_ITEMS = 5
"""Items that one line about missing items names."""

log = structlog.get_logger()


class WaitReason(Enum):
    """Why an item of this host has not been started."""

    NOT_SCHEDULED = "not_scheduled"
    HOST_STOPPING = "host_stopping"
    NO_CONFIGURATION = "no_configuration"
    ROUTE_MISSING = "route_missing"
    RETRY_DELAY = "retry_delay"
    QUARANTINED = "quarantined"
    NO_START_LEFT = "no_start_left"
    POOL_FULL = "pool_full"
    VERSION_FULL = "version_full"


class WaitLog:
    """Logs items that wait long, and restores items that a host has lost track of.

    :ivar logged_at: local time of the last round in seconds
    """

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.logged_at = -math.inf

    def write(self, runs: Collection[JobRun]) -> None:
        """Log the items that have waited longest, and count all by reason.

        :param runs: the jobs that this host runs
        """
        now = self.gateway.clock()
        if now - self.logged_at < WAIT_LOG_INTERVAL_SECONDS:
            return
        self.logged_at = now
        waiting = [item for run in runs for item in run.waiting]
        counts = Counter(item.wait_reason for item in waiting)
        for reason in WaitReason:
            self.gateway.metrics.waiting_items.labels(reason.value).set(counts[reason])
        long = [item for item in waiting if _is_due(item, now)]
        long.sort(key=lambda item: item.waiting_since)
        for item in long[:MAX_WAIT_LINES]:
            item.wait_logged_at = now
            log.warning(
                "item waits",
                item=item.item.id,
                job=item.job.id,
                reason=item.wait_reason.value,
                seconds=round(now - item.waiting_since, 1),
                starts=item.starts,
                failures=item.failures,
                runner=item.runner,
                others=len(long) - 1,
            )
        for run in runs:
            _restore_missing(run)


def _is_due(item: ItemRun, now: float) -> bool:
    """Return whether an item has waited long since its run or its last log line."""
    if item.waiting_since is None:
        return False
    since = max(item.waiting_since, item.wait_logged_at)
    return now - since >= LONG_WAIT_SECONDS


def _restore_missing(run: JobRun) -> None:
    missing = run.restore_missing()
    if missing:
        log.error(
            "items missing from their job's lists",
            job=run.view.job.id,
            count=len(missing),
            items=missing[:MAX_NAMED_ITEMS],
        )


def missing_items(run: JobRun) -> list[ItemId]:
    """Return the items of a job that wait, run, are finished or committed nowhere."""
    known = set(run.view.committed)
    for item in [*run.waiting, *run.running, *run.finished]:
        known.add(item.item.id)
    return [item.id for item in run.view.job.items if item.id not in known]
