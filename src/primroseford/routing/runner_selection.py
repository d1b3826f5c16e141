"""Choice of the runner for one request."""

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

SUBSET_RUNNERS = 16
SUBSET_SAME_DOMAIN = 8
"""Half of the subset stays for other failure domains, so that the loss of the
host's own domain leaves runners to use."""
REPORT_DECAY_SECONDS = 2.0
AFFINITY_MARGIN = 0.25
"""Load, as a part of capacity, that a cached prefix may cost at most."""
SAME_DOMAIN_ROOM = 0.1
"""A domain has room while a runner there is at most a tenth full; beyond that the
slowdown of a larger batch outweighs the 1 ms between domains."""
REMEMBERED_PREFIXES = 1024
IN_FLIGHT_SAMPLES = 64


@dataclass(frozen=True)
class LoadReport:
    """What a runner reports of itself.

    :param measured_at: local time of the measurement in seconds
    """

    running: int
    waiting: int
    capacity: int
    measured_at: float
    leaving: bool = False


@dataclass(eq=False)
class RunnerView:
    """What this host knows of one runner.

    :param online: own online requests in flight
    :param batch: own batch items in flight
    :param limit: requests that this host may have in flight on the runner
    :param capacity: requests that the runner works on together
    :param other_load: smoothed load of other hosts, last changed at ``reported_at``
    :param report: the last load report as it came
    :param unavailable_until: ejected or told to wait until this time in seconds
    :param probing: only one request at a time is sent until one succeeds
    :param latency: lowest seconds to the first byte in the last full window
    :param window_latency: lowest seconds to the first byte in the current window
    :param samples: (time, own in-flight) at recent changes
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
        default_factory=lambda: deque(maxlen=IN_FLIGHT_SAMPLES)
    )
    prefixes: OrderedDict[str, None] = field(default_factory=OrderedDict)
    cache_sequence: int = 0

    @property
    def in_flight(self) -> int:
        """Own requests and batch items in flight."""
        return self.online + self.batch


def rank_key(host: str, runner: str) -> int:
    """Return the rendezvous weight of a runner for a host."""
    return xxhash.xxh64_intdigest(f"{host}\0{runner}".encode())


def rank_runners(runners: Sequence[Runner], host: HostId) -> list[Runner]:
    """Return runners by rendezvous weight for a host, the highest first."""
    return sorted(runners, key=lambda r: rank_key(host, r.name), reverse=True)


def choose_subset(
    ranked: Sequence[Runner], domain: FailureDomainId, stays: Callable[[Runner], bool]
) -> list[Runner]:
    """Return the runners of a pool that a host uses, at most 16.

    :param ranked: runners of the pool from :func:`rank_runners`
    :param domain: this host's failure domain
    :param stays: whether a runner takes new work
    """
    near = (r for r in ranked if r.failure_domain == domain and stays(r))
    chosen = list(islice(near, SUBSET_SAME_DOMAIN))
    names = {r.name for r in chosen}
    rest = (r for r in ranked if r.name not in names and stays(r))
    return chosen + list(islice(rest, SUBSET_RUNNERS - len(chosen)))


def score(view: RunnerView, now: float) -> float:
    """Return the load of a runner as a part of its capacity.

    :param view: state of the runner
    :param now: local time in seconds
    """
    load = float(view.in_flight)
    if view.other_load:
        age = now - view.reported_at
        load += view.other_load * math.exp(-max(0.0, age) / REPORT_DECAY_SECONDS)
    return load / view.capacity


def is_available(view: RunnerView, now: float) -> bool:
    """Return whether a runner takes one more online request from this host now.

    Batch items do not take an online request's place, since batch yields at once.
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
    """Return the runner for a request, or nothing if none has a free place.

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
    holders = [view for view in free if prefix in view.prefixes]
    if not holders:
        return chosen
    preferred = min(holders, key=lambda view: score(view, now))
    lean = score(preferred, now) - score(chosen, now)
    return preferred if lean <= AFFINITY_MARGIN else chosen


def _choose_of_two(
    views: Sequence[RunnerView],
    now: float,
    random: Random,
    domain: FailureDomainId | None,
) -> RunnerView:
    count = len(views)
    # Two distinct positions with two draws; random.sample costs several times more.
    first = int(random.random() * count)
    second = int(random.random() * (count - 1))
    second += second >= first
    one, other = views[first], views[second]
    one_score, other_score = score(one, now), score(other, now)
    # The domain decides between the two only. If a host used its own domain's runners
    # alone, it would have no others to compare a slow one with.
    one_near = one.runner.failure_domain == domain and one_score < SAME_DOMAIN_ROOM
    other_near = (
        other.runner.failure_domain == domain and other_score < SAME_DOMAIN_ROOM
    )
    if one_near != other_near:
        return one if one_near else other
    return other if other_score < one_score else one
