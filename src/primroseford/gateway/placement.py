"""Placement of online requests and batch items by the load reports of all hosts.

Engines admit requests in order of arrival and have no priorities. Online requests
arrive in waves of a few seconds with lulls between them; batch items run for several
seconds each. Batch items therefore use slots that are free during a lull, leave some
slots free for the start of a wave, and are preempted when those slots are taken.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence
    from random import Random

    from primroseford.gateway.notices import ReportedLoad
    from primroseford.gateway.runners import RunnerKey
    from primroseford.ids import FailureDomainId

MAX_RUNNER_QUEUE = 2
"""Online requests that may wait in a runner's own queue while every slot of the pool
is taken. The runner starts them without the delay until a host sees the free slot."""
MIN_HEARTBEAT_INTERVAL_SECONDS = 0.06
"""Shortest interval between heartbeats. Batch items have to be preempted within about
100 ms of the start of a wave."""
MAX_DIRECT_HOSTS = 16
"""Largest fleet that sends heartbeats at the shortest interval, so that load reports
are no older than the time between two requests to one runner. In larger fleets the
interval grows with the number of hosts, which keeps the cost per host constant."""
SAMPLED_RUNNERS = 3
"""Runners sampled for each request in larger fleets: two, as in power-of-two-choices
load balancing, and a third in case one of them is full."""
PROBED_RUNNERS = 3
"""Runners asked for their present load before a request is placed: the chosen one and
two others, as many as are sampled."""
PROBE_FREE_FRACTION = 0.5
"""Fraction of free slots of a runner up to which its load is asked for. Other hosts may
have taken as many slots since the last load reports."""
USUAL_SLOWNESS = 100
"""Slowness of a runner without other work on its machine, in hundredths."""
SUFFICIENT_SLOWNESS = 150
"""Slowness from which a faster runner is looked for: the first event then takes as much
longer as a quarter of the time that a request ahead takes."""
HEADROOM = 0.12
"""Fraction of a pool's slots that batch leaves free, for the online requests that
arrive at the start of a wave during the 200 ms that preemption takes."""
RATE_LIMITED_HEADROOM_SLOTS = 2
"""Slots that batch leaves free on a runner that limits its requests, since the tokens
of online requests come in bursts."""
PREEMPTION_THRESHOLD = 0.02
"""Fraction of free slots in a pool below which batch items are preempted."""


@dataclass(frozen=True)
class RunnerLoad:
    """Load of a runner as one host sees it.

    :param slots: requests that the runner processes concurrently
    :param online: online requests in flight from all hosts
    :param batch: batch items in flight from all hosts
    :param own_batch: batch items in flight from this host
    :param start_limit: requests in flight at the rate that the runner accepts
    :param limit: requests that may be in flight while the runner is ramping up
    """

    key: RunnerKey
    failure_domain: FailureDomainId
    slots: int
    online: int
    batch: int
    own_batch: int = 0
    start_limit: float = math.inf
    limit: float = math.inf

    @property
    def free(self) -> int:
        """Number of free slots; negative if requests are queued at the runner."""
        return self.slots - self.online - self.batch

    @property
    def room(self) -> float:
        """Number of slots that batch items can use.

        A runner that is ramping up has none left if online requests are at its limit.
        """
        return min(self.free, self.limit - MAX_RUNNER_QUEUE - self.online - self.batch)

    @property
    def is_rate_limited(self) -> bool:
        """Whether the runner accepts fewer requests than its slots can process."""
        return self.start_limit < self.slots

    @property
    def usable_slots(self) -> float:
        """Number of slots that online requests can use."""
        return min(self.slots, self.start_limit, self.limit)

    @property
    def available(self) -> int:
        """Number of requests that can be sent without waiting.

        The requests to a runner with a limit wait for tokens.
        """
        if self.is_rate_limited:
            return 0
        left = min(self.free + MAX_RUNNER_QUEUE, self.limit - self.online - self.batch)
        return max(0, int(left))


def heartbeat_interval(hosts: int) -> float:
    """Return the heartbeat interval in seconds of a host whose loads change.

    :param hosts: number of live hosts, this one included
    """
    return MIN_HEARTBEAT_INTERVAL_SECONDS * max(1.0, hosts / MAX_DIRECT_HOSTS)


def sample_runners(
    loads: Sequence[RunnerLoad], hosts: int, random: Random
) -> Sequence[RunnerLoad]:
    """Return the candidate runners for one request.

    In a large fleet all hosts see the same load reports, which are some heartbeats old.
    If each chose the least loaded runner, all would send to the same one until the next
    heartbeats. The best of a few random runners is nearly as good.

    :param hosts: hosts that place requests, this one included
    """
    if hosts <= MAX_DIRECT_HOSTS or len(loads) <= SAMPLED_RUNNERS:
        return loads
    return random.sample(loads, SAMPLED_RUNNERS)


def choose_runner(
    loads: Sequence[RunnerLoad], domain: FailureDomainId, random: Random
) -> RunnerLoad | None:
    """Return the runner for an online request; ``None`` if the request must wait.

    The runner with the most free slots is chosen. Ties go to a runner in the host's own
    failure domain, then to a random one, since all hosts see about the same loads.

    :param loads: loads of the candidate runners
    :param domain: failure domain of this host
    :param random: source of randomness
    """
    best = max(
        loads,
        key=lambda load: (load.free, load.failure_domain == domain, random.random()),
        default=None,
    )
    if best is None or best.free <= -MAX_RUNNER_QUEUE:
        return None
    return best


def needs_probes(load: RunnerLoad, hosts: int) -> bool:
    """Return whether the load reports are too old to place a request on a runner.

    :param load: load of the runner, the request included
    :param hosts: hosts that place requests, this one included
    """
    return hosts > MAX_DIRECT_HOSTS and load.free < PROBE_FREE_FRACTION * load.slots


def probe_candidates(
    loads: Sequence[RunnerLoad], chosen: RunnerKey, random: Random
) -> list[RunnerLoad]:
    """Return the runners whose present load is asked for beside that of the chosen one.

    :param loads: loads of the candidate runners
    """
    others = [load for load in loads if load.key != chosen and load.free > 0]
    return random.sample(others, min(len(others), PROBED_RUNNERS - 1))


def is_sufficient(report: ReportedLoad | None) -> bool:
    """Return whether a request can start at the chosen runner without delay.

    The others are asked for their loads only if it cannot, since most requests of a
    surge find a free slot and each probe takes a connection.

    :param report: load that the runner has just reported; ``None`` if it has not
        answered
    """
    return (
        report is not None
        and report.running + report.waiting < report.slots
        and (report.slowness or USUAL_SLOWNESS) < SUFFICIENT_SLOWNESS
    )


def best_probed(
    reports: Mapping[RunnerKey, ReportedLoad | None],
    lasting: Mapping[RunnerKey, float],
    chosen: RunnerKey,
    first_event: float,
    service: float,
) -> RunnerKey | None:
    """Return the runner with the earliest expected first event of a request.

    If the expected times are equal, the chosen runner is kept.

    :param reports: load that each runner has just reported; ``None`` if it has not
        answered
    :param lasting: lasting speeds of the runners; 1 is that of the pool
    :param first_event: mean time to the first event in seconds
    :param service: mean time in seconds that a request occupies a slot
    :returns: ``None`` if none has answered
    """

    def rank(key: RunnerKey) -> tuple[float, bool]:
        report = reports[key]
        queued = max(0, report.running + report.waiting + 1 - report.slots)
        factor = (report.slowness or USUAL_SLOWNESS) / USUAL_SLOWNESS / lasting[key]
        seconds = first_event + queued * service / report.slots
        return factor * seconds, key != chosen

    answered = [key for key, report in reports.items() if report is not None]
    return min(answered, key=rank, default=None)


def batch_runner(
    loads: Sequence[RunnerLoad], random: Random, hosts: int = 1
) -> RunnerLoad | None:
    """Return the runner for one more batch item; ``None`` if no slot is free.

    :param loads: loads of the candidate runners
    :param random: source of randomness
    :param hosts: hosts that place items, this one included
    """
    sampled = sample_runners(loads, hosts, random)
    best = max(sampled, key=lambda load: (load.room, random.random()))
    return best if best.room >= 1 else None


def trial_runner(loads: Sequence[RunnerLoad]) -> RunnerLoad | None:
    """Return the runner on which a crash interrupts the fewest requests.

    :param loads: loads of the candidate runners
    :returns: a runner with a free slot; ``None`` if there is none
    """
    free = [load for load in loads if load.free > 0]
    return min(free, key=lambda load: (load.online, load.batch), default=None)


def batch_start_limit(
    loads: Sequence[RunnerLoad],
    own_share: float,
    random: Random,
    limit: float = math.inf,
) -> int:
    """Return how many batch items this host may start before the next load reports.

    All hosts see the same free slots, with some delay. Each uses its own share of them,
    so that together they start about as many items as there are slots.

    :param loads: loads of the candidate runners
    :param own_share: fraction of all waiting items that wait on this host
    :param limit: slots that the batch items of all hosts may use
    """
    slots = sum(load.slots for load in loads)
    free = sum(max(0, load.room) for load in loads) - HEADROOM * slots
    free = min(free, limit - sum(load.batch for load in loads))
    free = max(0.0, free)
    return min(int(free), round_by_chance(free * own_share, random))


def items_to_preempt(loads: Sequence[RunnerLoad], random: Random) -> int:
    """Return how many of this host's batch items must be preempted now.

    Each host preempts in proportion to its items, so that together the hosts free about
    as many slots as are needed.

    :param loads: loads of the usable runners of the pool that do not limit their
        requests
    :param random: source of randomness
    """
    slots = sum(load.slots for load in loads)
    free = sum(load.free for load in loads)
    batch = sum(load.batch for load in loads)
    own = sum(load.own_batch for load in loads)
    if not own or free >= PREEMPTION_THRESHOLD * slots:
        return 0
    count = (HEADROOM * slots - free) * own / batch
    return min(own, round_by_chance(count, random))


def items_to_preempt_on(load: RunnerLoad, random: Random) -> int:
    """Return how many of this host's batch items must be preempted on one runner.

    The runner limits its requests. Online requests use few of its slots, so that an
    item ends only for one that waits there.

    :param load: load of the runner
    :param random: source of randomness
    """
    waiting = min(-load.free, load.batch)
    if waiting <= 0 or not load.own_batch:
        return 0
    return round_by_chance(waiting * load.own_batch / load.batch, random)


def round_by_chance(value: float, random: Random) -> int:
    """Round a value up or down at random, so that its mean is preserved."""
    whole = int(value)
    return whole + (random.random() < value - whole)


def expected_wait(ahead: int, loads: Sequence[RunnerLoad], seconds: float) -> float:
    """Return the expected seconds until a newly queued request gets a slot.

    :param ahead: requests queued before it on all hosts
    :param loads: loads of all usable runners of the pool
    :param seconds: mean time that a request occupies a slot
    """
    slots = sum(load.usable_slots for load in loads)
    if not slots:
        return float("inf")
    needed = ahead + 1 - sum(load.available for load in loads)
    return max(0.0, needed * seconds / slots)
