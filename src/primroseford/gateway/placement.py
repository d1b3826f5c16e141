"""Where requests and batch items run, from the loads that all hosts tell.

Engines admit requests in order of arrival and know no priorities. Online requests
come in waves of seconds with lulls between; batch items take several seconds each.
Batch therefore fills what the lulls leave, keeps some slots free for the start of a
wave, and steps back when those slots are taken.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from primroseford.gateway.runners import RunnerKey
    from primroseford.ids import FailureDomainId

QUEUE_AT_RUNNER = 2
"""Online requests that may wait in a runner's own queue while every slot of the pool
is taken: it saves the time in which a free slot becomes known here."""
TELL_SECONDS = 0.06
"""Shortest time between two heartbeats: batch has to step back within about 100 ms of
a wave's start."""
MAX_DIRECT_HOSTS = 16
"""Hosts up to which heartbeats come at their shortest interval, so that loads are no
older than the time between two requests to one runner. With more, they go out less
often, so that their cost a host stays the same."""
SAMPLED_RUNNERS = 3
"""Runners among which a request chooses if there are more hosts: the power of two
choices, and a third for one that is full."""
HEADROOM = 0.12
"""Part of a pool's slots that batch leaves free: the online requests that arrive in
the 200 ms in which batch steps back, at the start of a wave."""
STEP_BACK = 0.02
"""Part of a pool's slots that are free when batch starts to step back."""


@dataclass(frozen=True)
class RunnerLoad:
    """Load of a runner as one host sees it.

    :param slots: requests that it works on together
    :param online: online requests in flight, of all hosts
    :param batch: batch items in flight, of all hosts
    :param own_batch: batch items in flight of this host
    """

    key: RunnerKey
    failure_domain: FailureDomainId
    slots: int
    online: int
    batch: int
    own_batch: int = 0

    @property
    def free(self) -> int:
        """Slots that nothing uses; negative if requests wait there."""
        return self.slots - self.online - self.batch


def heartbeat_interval(hosts: int) -> float:
    """Return the seconds between two heartbeats of a host whose loads change.

    :param hosts: number of live hosts, this one included
    """
    return TELL_SECONDS * max(1.0, hosts / MAX_DIRECT_HOSTS)


def sample_runners(
    loads: Sequence[RunnerLoad], hosts: int, random: Random
) -> Sequence[RunnerLoad]:
    """Return the runners among which one request chooses.

    Many hosts that all see the same loads, some heartbeats old, would send to the same
    runner until the next heartbeats; the best of a few random ones is nearly as good.

    :param hosts: hosts that choose, this one included
    """
    if hosts <= MAX_DIRECT_HOSTS or len(loads) <= SAMPLED_RUNNERS:
        return loads
    return random.sample(loads, SAMPLED_RUNNERS)


def choose_runner(
    loads: Sequence[RunnerLoad], domain: FailureDomainId, random: Random
) -> RunnerLoad | None:
    """Return the runner for an online request, or nothing if it must wait.

    The least loaded runner wins; of equals, one in the host's own failure domain,
    then a random one, since all hosts see about the same loads.

    :param loads: runners that may be used
    :param domain: failure domain of this host
    :param random: source of randomness
    """
    best = max(
        loads,
        key=lambda load: (load.free, load.failure_domain == domain, random.random()),
        default=None,
    )
    if best is None or best.free <= -QUEUE_AT_RUNNER:
        return None
    return best


def batch_runner(
    loads: Sequence[RunnerLoad], random: Random, hosts: int = 1
) -> RunnerLoad | None:
    """Return the runner on which one more batch item may start, or nothing.

    :param loads: runners that may be used
    :param random: source of randomness
    :param hosts: hosts that choose, this one included
    """
    sampled = sample_runners(loads, hosts, random)
    best = max(sampled, key=lambda load: (load.free, random.random()))
    return best if best.free > 0 else None


def batch_start_limit(
    loads: Sequence[RunnerLoad],
    part: float,
    random: Random,
    limit: float = math.inf,
) -> int:
    """Return how many batch items this host may start until it hears of the others.

    All hosts see the same room, some time old; each takes its part of it, so that
    together they take about as much as there is.

    :param loads: runners that may be used
    :param part: part of all waiting items that this host has
    :param limit: slots that batch of all hosts may take
    """
    slots = sum(load.slots for load in loads)
    room = sum(max(0, load.free) for load in loads) - HEADROOM * slots
    room = min(room, limit - sum(load.batch for load in loads))
    room = max(0.0, room)
    return min(int(room), round_by_chance(room * part, random))


def items_to_preempt(loads: Sequence[RunnerLoad], random: Random) -> int:
    """Return how many of this host's batch items must step back now.

    Each host gives up its part of what is missing, so that together they give up about
    as much as is needed.

    :param loads: all usable runners of the pool
    :param random: source of randomness
    """
    slots = sum(load.slots for load in loads)
    free = sum(load.free for load in loads)
    batch = sum(load.batch for load in loads)
    own = sum(load.own_batch for load in loads)
    if not own or free >= STEP_BACK * slots:
        return 0
    share = (HEADROOM * slots - free) * own / batch
    return min(own, round_by_chance(share, random))


def round_by_chance(value: float, random: Random) -> int:
    """Return a whole number whose mean is the value."""
    whole = int(value)
    return whole + (random.random() < value - whole)


def expected_wait(ahead: int, loads: Sequence[RunnerLoad], seconds: float) -> float:
    """Return the seconds until a request that comes now gets a slot.

    :param ahead: requests that wait before it, on all hosts
    :param loads: all usable runners of the pool
    :param seconds: time that a request usually holds a slot
    """
    slots = sum(load.slots for load in loads)
    if not slots:
        return float("inf")
    missing = ahead + 1 - sum(max(0, load.free + QUEUE_AT_RUNNER) for load in loads)
    return max(0.0, missing * seconds / slots)
