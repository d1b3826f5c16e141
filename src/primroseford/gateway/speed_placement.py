"""Placement on runners of unequal speed, by the expected time to the first event.

The runner with the shortest expected times would be chosen by all hosts at once until
the next heartbeats. So hosts sample runners in proportion to their speed and their free
slots, and the more evenly the older the load reports are.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from primroseford.gateway.placement import MAX_DIRECT_HOSTS
from primroseford.gateway.placement import MAX_RUNNER_QUEUE
from primroseford.gateway.placement import heartbeat_interval

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from primroseford.gateway.placement import RunnerLoad

RELAY_DELAY_SECONDS = 0.1
"""Delay of heartbeats by relays: up to 0.1 s at each of two."""
DIRECT_SAMPLES = 2
"""Runners sampled for each request in fleets without relays. Among them the expected
time decides."""
RELAYED_SAMPLES = 1
"""The same in larger fleets. In the replay of 68 hosts the better of two by reports of
that age had more late requests than one runner by weight: 0.174 instead of 0.140."""
MIN_WEIGHT = 0.05
"""Weight of a runner without a free slot, in slots: it may have one by now."""


def known_share(hosts: int, service_seconds: float) -> float:
    """Return the share of the reported load that is still in flight on average.

    :param hosts: hosts that place requests, this one included
    :param service_seconds: mean time that a request occupies a slot
    """
    if hosts == 1:
        return 1.0
    age = heartbeat_interval(hosts)
    if hosts > MAX_DIRECT_HOSTS:
        age += RELAY_DELAY_SECONDS
    return math.exp(-age / max(service_seconds, age / 10))


def expected_first_event(
    load: RunnerLoad, factor: float, first_seconds: float, service_seconds: float
) -> float:
    """Return the expected seconds from the sending of a request to its first event.

    A runner with a lower result and no queue also ends the request earlier, since both
    times grow with its time factor.

    :param factor: time that work takes on the runner, relative to the usual one
    :param first_seconds: usual time to the first event at a runner with a free slot
    :param service_seconds: usual time that a request occupies a slot
    """
    queued = max(0, 1 - load.free)
    return factor * (first_seconds + queued * service_seconds / max(1, load.slots))


def choose_by_speed(
    loads: Sequence[RunnerLoad],
    factors: Sequence[float],
    hosts: int,
    first_seconds: float,
    service_seconds: float,
    random: Random,
    batch: bool = False,
) -> RunnerLoad | None:
    """Return the runner for a request; ``None`` if it must wait.

    Batch items are spread in the same way. On slow runners alone they would occupy
    slots twice as long: the replay of 68 hosts had more late requests then, 0.154
    instead of 0.140.

    :param loads: loads of the candidate runners
    :param factors: time that work takes on each, relative to the usual one
    :param hosts: hosts that place requests, this one included
    :param first_seconds: usual time to the first event at a runner with a free slot
    :param service_seconds: usual time that a request occupies a slot
    :param batch: whether it is a batch item, which needs a free slot
    """
    least = 0 if batch else -MAX_RUNNER_QUEUE
    # The property of the load would take a third of the time of this function.
    frees = [load.slots - load.online - load.batch for load in loads]
    if batch:
        frees = [
            min(free, math.floor(load.room)) if load.limit < math.inf else free
            for load, free in zip(loads, frees, strict=True)
        ]
    numbers = [number for number, free in enumerate(frees) if free > least]
    if not numbers:
        return None
    known = known_share(hosts, service_seconds)
    mean = (1 - known) * sum(frees[n] for n in numbers if frees[n] > 0) / len(numbers)
    weights = [
        (known * (frees[n] if frees[n] > 0 else MIN_WEIGHT) + mean) / factors[n]
        for n in numbers
    ]
    count = DIRECT_SAMPLES if hosts <= MAX_DIRECT_HOSTS else RELAYED_SAMPLES
    sampled = random.choices(numbers, weights, k=count)
    best = min(
        sampled,
        key=lambda n: expected_first_event(
            loads[n], factors[n], first_seconds, service_seconds
        ),
    )
    return loads[best]
