"""What entry hosts do a second, from two readings of their metrics."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from prometheus_client.parser import text_string_to_metric_families

from primroseford.metrics import PREFIX

if TYPE_CHECKING:
    from collections.abc import Iterable

Samples = dict[tuple[str, frozenset], float]
"""Values by name without the prefix and labels."""

REQUESTS = "gateway_requests_total"
REFUSALS = "gateway_refusals_total"
RETRIES = "gateway_retries_total"
ITEMS = "gateway_items_total"
CALLS = "platform_calls_total"
BUCKETS = "gateway_request_seconds_bucket"


@dataclass(frozen=True)
class Rates:
    """What one host or several do.

    :param requests: ended online requests a second
    :param good: part of them that ended well; nothing if there were none
    :param median: seconds from arrival to the end of half of them
    :param p99: the same of 99 of 100
    :param refused: refusals a second
    :param retries: attempts sent again a second
    :param items: runs of batch items that ended a second
    :param calls: calls to the platform's store a second
    """

    requests: float
    good: float | None
    median: float | None
    p99: float | None
    refused: float
    retries: float
    items: float
    calls: float


def read_samples(text: str) -> Samples:
    """Return the values in a page of metrics.

    :raises ValueError: if it is none
    """
    return {
        (sample.name.removeprefix(PREFIX), frozenset(sample.labels.items())): (
            sample.value
        )
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def growth(before: Samples, after: Samples) -> Samples:
    """Return by how much counters have grown.

    Those of a process that has started anew count from zero.
    """
    return {
        key: value - before.get(key, 0.0) if value >= before.get(key, 0.0) else value
        for key, value in after.items()
    }


def rates(grown: Iterable[Samples], seconds: float) -> Rates:
    """Return what hosts did together.

    :param grown: growth of the counters of each host
    :param seconds: time between the two readings
    """
    total: Counter = Counter()
    for samples in grown:
        total.update(samples)
    ends = {labels: n for (name, labels), n in total.items() if name == REQUESTS}
    requests = sum(ends.values())
    good = sum(n for labels, n in ends.items() if ("code", "ok") in labels)
    buckets: Counter = Counter()
    for (name, labels), count in total.items():
        if name == BUCKETS:
            buckets[float(dict(labels)["le"])] += count
    return Rates(
        requests / seconds,
        good / requests if requests else None,
        quantile(buckets, 0.5),
        quantile(buckets, 0.99),
        _sum(total, REFUSALS) / seconds,
        _sum(total, RETRIES) / seconds,
        _sum(total, ITEMS) / seconds,
        _sum(total, CALLS) / seconds,
    )


def quantile(buckets: dict[float, float], part: float) -> float | None:
    """Return a quantile of a histogram, as Prometheus' ``histogram_quantile`` does.

    :param buckets: number of values up to each bound, the last bound being infinite
    :param part: from 0 to 1
    :returns: seconds; nothing without values; the last finite bound if it is beyond
    """
    ordered = sorted(buckets.items())
    if not ordered or not ordered[-1][1]:
        return None
    wanted = part * ordered[-1][1]
    low, below = 0.0, 0.0
    for bound, count in ordered:
        if count >= wanted and count > below:
            if math.isinf(bound):
                return low
            return low + (bound - low) * (wanted - below) / (count - below)
        low, below = bound, count
    return low


def _sum(total: Samples, wanted: str) -> float:
    return sum(count for (name, _), count in total.items() if name == wanted)
