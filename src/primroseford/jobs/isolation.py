"""Keeps an error of one item, job or step from ending the work on all others."""

from __future__ import annotations

import math
from contextlib import contextmanager
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroseford.clock import Clock
    from primroseford.ids import JobId
    from primroseford.jobs.run import ItemRun

ERROR_LOG_INTERVAL_SECONDS = 2.0
"""Minimum time between two log lines about errors of the same step."""
ITEM_RETRY_SECONDS = 1.0
"""Delay before an item is considered again whose start failed unexpectedly."""
MAX_REASON_LENGTH = 200

log = structlog.get_logger()


class Isolation:
    """Logs unexpected errors instead of passing them on.

    :param clock: local time
    :ivar logged_at: local time of the last log line in seconds, by step
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.logged_at: dict[str, float] = {}

    @contextmanager
    def step(self, step: str, job: JobId | None = None) -> Iterator[None]:
        """Isolate the errors of a step, or of a step for one job."""
        try:
            yield
        except Exception as error:
            self._log(step, job, error)

    def delay_item(self, step: str, item: ItemRun, error: Exception) -> None:
        """Log an error of a step for one item, and delay the item's next try."""
        item.not_before = self.clock() + ITEM_RETRY_SECONDS
        self._log(step, item.job.id, error, item=item.item.id)

    def _log(
        self, step: str, job: JobId | None, error: Exception, **fields: str
    ) -> None:
        now = self.clock()
        if now - self.logged_at.get(step, -math.inf) < ERROR_LOG_INTERVAL_SECONDS:
            return
        self.logged_at[step] = now
        reason = repr(error)[:MAX_REASON_LENGTH]
        log.error(
            "step failed", step=step, job=job, reason=reason, exc_info=error, **fields
        )
