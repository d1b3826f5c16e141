"""Selects the runner of a request by load, failure domain and prefix cache."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from itertools import islice
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    from random import Random

    from primroseford.configuration.tables import Runner
    from primroseford.ids import FailureDomainId
    from primroseford.ids import HostId

MAX_SUBSET_RUNNERS = 16
MAX_SAME_DOMAIN_RUNNERS = 8
"""The other half of the subset is in any failure domain, so that runners are left when
the host's own domain fails."""
REPORT_DECAY_SECONDS = 2.0
MAX_AFFINITY_EXTRA_LOAD = 0.25
"""Additional load, as a fraction of capacity, that is accepted for a cached prefix."""
MAX_SAME_DOMAIN_LOAD = 0.1
"""Load, as a fraction of capacity, below which a runner of the host's own failure
domain is preferred. Above it, the slowdown by a larger batch on the runner outweighs
the latency of 1 ms between domains."""
MAX_TRACKED_PREFIXES = 1024
MAX_IN_FLIGHT_SAMPLES = 64


@dataclass(frozen=True)
class LoadReport:
    """Load report of a runner.

    :param measured_at: local time of the measurement in seconds
    """

    running: int
    waiting: int
    capacity: int
    measured_at: float
    leaving: bool = False


@dataclass(eq=False)
class RunnerView:
    """State of a runner as this host sees it.

    :param online: own online requests in flight
    :param batch: own batch items in flight
    :param limit: maximum of this host's online requests in flight on the runner
    :param capacity: requests that the runner processes concurrently
    :param other_load: smoothed load of other hosts, as of ``reported_at``
    :param report: the last load report
    :param reported_at: local time in seconds of the last report's measurement
    :param report_leaving: whether the last load report says that the runner is leaving
    :param unavailable_until: local time in seconds until which the runner is ejected,
        or paused by its ``Retry-After``
    :param probing: whether only one request at a time is sent until one succeeds
    :param latency: minimum time to first byte in the last full window, in seconds
    :param window_latency: minimum time to first byte in the current window, in seconds
    :param samples: (time, own requests in flight) at recent changes
    :param prefixes: prompt prefixes that the runner probably has cached, in LRU order
    :param cache_sequence: sequence number of the next expected cache event
    """

    runner: Runner
    limit: int
    online: int = 0
    batch: int = 0
    capacity: int = 1
    other_load: float = 0.0
    report: LoadReport | None = None
    reported_at: float = -math.inf
    report_leaving: bool = False
    leaving: bool = False
    unavailable_until: float = -math.inf
    probing: bool = False
    failures: int = 0
    ejections: int = 0
    ejected_as_slow: bool = False
    latency: float = 0.0
    window_latency: float = math.inf
    latency_count: int = 0
    samples: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_IN_FLIGHT_SAMPLES)
    )
    prefixes: OrderedDict[str, None] = field(default_factory=OrderedDict)
    cache_sequence: int = 0

    @property
    def in_flight(self) -> int:
        """Own online requests and batch items in flight."""
        return self.online + self.batch


def rendezvous_weight(host: str, runner: str) -> int:
    """Return the rendezvous weight of a runner for a host."""
    return xxhash.xxh64_intdigest(f"{host}\0{runner}".encode())


def rank_runners(runners: Sequence[Runner], host: HostId) -> list[Runner]:
    """Return runners by descending rendezvous weight for a host."""
    return sorted(runners, key=lambda r: rendezvous_weight(host, r.name), reverse=True)


def choose_subset(
    ranked: Sequence[Runner],
    domain: FailureDomainId,
    accepts_new_requests: Callable[[Runner], bool],
) -> list[Runner]:
    """Return the runners of a pool that a host uses, at most ``MAX_SUBSET_RUNNERS``.

    :param ranked: runners of the pool from :func:`rank_runners`
    :param domain: this host's failure domain
    :param accepts_new_requests: returns whether a runner accepts new requests
    """
    same_domain = (
        r for r in ranked if r.failure_domain == domain and accepts_new_requests(r)
    )
    chosen = list(islice(same_domain, MAX_SAME_DOMAIN_RUNNERS))
    names = {r.name for r in chosen}
    remaining = (r for r in ranked if r.name not in names and accepts_new_requests(r))
    return chosen + list(islice(remaining, MAX_SUBSET_RUNNERS - len(chosen)))


def score(view: RunnerView, now: float) -> float:
    """Return the load of a runner as a fraction of its capacity.

    :param view: state of the runner
    :param now: local time in seconds
    """
    load = float(view.in_flight)
    if view.other_load:
        age = now - view.reported_at
        load += view.other_load * math.exp(-max(0.0, age) / REPORT_DECAY_SECONDS)
    return load / view.capacity


def is_available(view: RunnerView, now: float) -> bool:
    """Return whether this host may send one more online request to a runner now.

    Batch items do not count, since they are preempted by online requests at once.
    """
    if view.leaving or view.report_leaving or now < view.unavailable_until:
        return False
    return view.online < (1 if view.probing else view.limit)


def choose_runner(
    views: Sequence[RunnerView],
    prefix: str | None,
    now: float,
    random: Random,
    domain: FailureDomainId | None = None,
) -> RunnerView | None:
    """Return the runner for a request, or none if none has a free slot.

    :param views: the subset of the pool's runners
    :param prefix: start of the prompt, if any
    :param now: local time in seconds
    :param random: source of randomness
    :param domain: this host's failure domain
    """
    free = [view for view in views if is_available(view, now)]
    if len(free) < 2:
        return free[0] if free else None
    chosen = _choose_of_two(free, now, random, domain)
    if prefix is None or prefix in chosen.prefixes:
        return chosen
    cached_views = [view for view in free if prefix in view.prefixes]
    if not cached_views:
        return chosen
    preferred = min(cached_views, key=lambda view: score(view, now))
    extra_load = score(preferred, now) - score(chosen, now)
    return preferred if extra_load <= MAX_AFFINITY_EXTRA_LOAD else chosen


def _choose_of_two(
    views: Sequence[RunnerView],
    now: float,
    random: Random,
    domain: FailureDomainId | None,
) -> RunnerView:
    count = len(views)
    # Samples two distinct runners; random.sample would cost several times more.
    first_index = int(random.random() * count)
    second_index = int(random.random() * (count - 1))
    second_index += second_index >= first_index
    first_view, second_view = views[first_index], views[second_index]
    first_score, second_score = score(first_view, now), score(second_view, now)
    # The failure domain only decides between the two sampled runners. A host that used
    # just the runners of its own domain could not compare their latency with others.
    first_is_local = (
        first_view.runner.failure_domain == domain
        and first_score < MAX_SAME_DOMAIN_LOAD
    )
    second_is_local = (
        second_view.runner.failure_domain == domain
        and second_score < MAX_SAME_DOMAIN_LOAD
    )
    if first_is_local != second_is_local:
        return first_view if first_is_local else second_view
    return second_view if second_score < first_score else first_view
