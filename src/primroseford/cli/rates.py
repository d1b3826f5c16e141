"""Computes rates per second from two scrapes of the entry hosts' metrics."""

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
"""Values by metric name, without the project's prefix, and labels."""

REQUESTS = "gateway_requests_total"
REFUSALS = "gateway_refusals_total"
RETRIES = "gateway_retries_total"
ITEMS = "gateway_items_total"
CALLS = "platform_calls_total"
BUCKETS = "gateway_request_seconds_bucket"


@dataclass(frozen=True)
class Rates:
    """Rates of one host or several hosts together.

    :param requests: online requests ended per second
    :param good: fraction of these that succeeded; ``None`` without requests
    :param median: median duration of a request in seconds
    :param p99: 99th percentile of the duration in seconds
    :param refused: refusals per second
    :param retries: retries per second
    :param items: runs of batch items ended per second
    :param calls: calls to the platform's store per second
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
    """Parse a page of metrics in the Prometheus text format.

    :raises ValueError: if the text has another format
    """
    return {
        (sample.name.removeprefix(PREFIX), frozenset(sample.labels.items())): (
            sample.value
        )
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def counter_increases(before: Samples, after: Samples) -> Samples:
    """Return the increase of each counter between two scrapes.

    A counter with a lower value than before was reset by a restart of the process; its
    increase counts from zero.
    """
    return {
        key: value - before.get(key, 0.0) if value >= before.get(key, 0.0) else value
        for key, value in after.items()
    }


def compute_rates(increases: Iterable[Samples], seconds: float) -> Rates:
    """Return the rates of several hosts together.

    :param increases: increases of the counters of each host
    :param seconds: time between the two scrapes
    """
    total: Counter = Counter()
    for samples in increases:
        total.update(samples)
    request_counts = {
        labels: n for (name, labels), n in total.items() if name == REQUESTS
    }
    requests = sum(request_counts.values())
    good = sum(n for labels, n in request_counts.items() if ("code", "ok") in labels)
    buckets: Counter = Counter()
    for (name, labels), count in total.items():
        if name == BUCKETS:
            buckets[float(dict(labels)["le"])] += count
    return Rates(
        requests / seconds,
        good / requests if requests else None,
        histogram_quantile(buckets, 0.5),
        histogram_quantile(buckets, 0.99),
        _sum_metric(total, REFUSALS) / seconds,
        _sum_metric(total, RETRIES) / seconds,
        _sum_metric(total, ITEMS) / seconds,
        _sum_metric(total, CALLS) / seconds,
    )


def histogram_quantile(buckets: dict[float, float], quantile: float) -> float | None:
    """Estimate a quantile of a histogram like Prometheus' ``histogram_quantile``.

    :param buckets: cumulative count by upper bound; the last bound is infinite
    :param quantile: from 0 to 1
    :returns: seconds; ``None`` without values; the largest finite bound if the quantile
        lies beyond it
    """
    ordered = sorted(buckets.items())
    if not ordered or not ordered[-1][1]:
        return None
    rank = quantile * ordered[-1][1]
    lower_bound, count_below = 0.0, 0.0
    for bound, count in ordered:
        if count >= rank and count > count_below:
            if math.isinf(bound):
                return lower_bound
            return lower_bound + (bound - lower_bound) * (rank - count_below) / (
                count - count_below
            )
        lower_bound, count_below = bound, count
    return lower_bound


def _sum_metric(total: Samples, metric: str) -> float:
    return sum(count for (name, _), count in total.items() if name == metric)
