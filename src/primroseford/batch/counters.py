"""Counters of batch."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from prometheus_client import Counter

    from primroseford.metrics import Metrics


@dataclass(frozen=True)
class BatchCounters:
    """Counters that the feeders of a host increment."""

    refusals: Counter
    retries: Counter
    preemptions: Counter
    takeovers: Counter
    commits: Counter


def create_batch_counters(metrics: Metrics) -> BatchCounters:
    """Return the counters of a host.

    :param metrics: registry of the counters
    """
    return BatchCounters(
        metrics.counter(
            "batch_refusals_total", "Items that did not run", labels=("reason",)
        ),
        metrics.counter(
            "batch_retries_total", "Items that run again after a failure", ("reason",)
        ),
        metrics.counter(
            "batch_preemptions_total", "Items cancelled to make room for online"
        ),
        metrics.counter(
            "batch_takeovers_total", "Chunks claimed after another claim", ("reason",)
        ),
        metrics.counter("batch_commits_total", "Chunks committed"),
    )
