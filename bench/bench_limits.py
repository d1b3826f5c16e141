"""Fleet-wide rate limits over peer connections on the loopback interface."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass

from bench.report import Report
from primroseford.clock import boottime
from primroseford.errors import PrimrosefordError
from primroseford.ids import OrganisationId
from primroseford.limits.bucket import Limit
from primroseford.limits.tests.fakes import LimiterFleet

HOSTS = 9
RATES = (300.0, 150.0, 80.0, 50.0, 30.0, 20.0, 10.0, 5.0)
BURST_SECONDS = 1.0
OVERLOADED_INDEX = 1
LOAD_FACTOR = 0.7
OVERLOAD_FACTOR = 5.0
FIRST_HOST_SHARE = 0.6
STEADY_SECONDS = 15.0
OWNER_LOSS_SECONDS = 25.0
REMOVAL_DELAY_SECONDS = 7.0
SLOPE_SECONDS = 5.0
DEADLINE_SECONDS = 10.0


@dataclass(frozen=True)
class Arrival:
    """One request of a schedule.

    :param at: seconds from the start
    """

    at: float
    organisation: int
    host: int


@dataclass
class Admission:
    """The decision about an arrival.

    :param admitted_at: when the permit was granted in seconds from the start; None if
        the request was refused
    """

    arrival: Arrival
    admitted_at: float | None


def organisation_name(index: int) -> OrganisationId:
    """Return the name of an organisation."""
    return OrganisationId(f"organisation-{index}")


def limits_of(rates: tuple[float, ...]) -> dict[OrganisationId, Limit]:
    """Return the limits by name."""
    return {
        organisation_name(i): Limit(rate, max(5.0, rate * BURST_SECONDS))
        for i, rate in enumerate(rates)
    }


def schedule(
    rates: tuple[float, ...], hosts: int, seconds: float, seed: int, overload: bool
) -> list[Arrival]:
    """Return Poisson arrivals, most of them at the first host.

    :param overload: whether one organisation sends more than its rate
    """
    source = random.Random(seed)
    arrivals = []
    for i, rate in enumerate(rates):
        factor = OVERLOAD_FACTOR if overload and i == OVERLOADED_INDEX else LOAD_FACTOR
        at = source.expovariate(rate * factor)
        while at < seconds:
            host = 0 if source.random() < FIRST_HOST_SHARE else source.randrange(hosts)
            arrivals.append(Arrival(at, i, host))
            at += source.expovariate(rate * factor)
    return sorted(arrivals, key=lambda arrival: arrival.at)


def burst_excess(times: list[float], limit: Limit) -> float:
    """Return by how much the admissions exceed the bound of a token bucket.

    The bound of a window is its length times the rate, plus the burst; the result is
    the largest excess of any window.
    """
    highest = level = last = 0.0
    for at in sorted(times):
        level = max(0.0, level - limit.rate * (at - last)) + 1
        last = at
        highest = max(highest, level)
    return max(0.0, highest - limit.burst)


def replay_local_buckets(
    arrivals: list[Arrival], rates: tuple[float, ...], hosts: int, divisor: int
) -> list[Admission]:
    """Simulate exact local token buckets on hosts that exchange no messages.

    :param divisor: each host's bucket has the limit divided by this number
    """
    limits = limits_of(rates)
    levels: dict[tuple[int, int], tuple[float, float]] = {}
    admissions = []
    for arrival in arrivals:
        limit = limits[organisation_name(arrival.organisation)]
        key = (arrival.organisation, arrival.host % hosts)
        level, at = levels.get(key, (limit.burst / divisor, 0.0))
        refilled = level + limit.rate / divisor * (arrival.at - at)
        level = min(limit.burst / divisor, refilled)
        admitted = level >= 1
        levels[key] = (level - admitted, arrival.at)
        admissions.append(Admission(arrival, arrival.at if admitted else None))
    return admissions


async def send_arrivals(
    fleet: LimiterFleet, arrivals: list[Arrival]
) -> list[Admission]:
    """Send the arrivals at their times; those of a lost host go to other hosts."""
    start = boottime()
    admissions: list[Admission] = []

    async def acquire_permit(arrival: Arrival) -> None:
        names = sorted(fleet.limiters)
        limiter = fleet.limiters[names[arrival.host % len(names)]]
        organisation = organisation_name(arrival.organisation)
        deadline = boottime() + DEADLINE_SECONDS
        try:
            await limiter.acquire(organisation, 1, deadline)
        except PrimrosefordError:
            admissions.append(Admission(arrival, None))
        else:
            admissions.append(Admission(arrival, boottime() - start))

    tasks = []
    for arrival in arrivals:
        delay = arrival.at - (boottime() - start)
        if delay > 0:
            await asyncio.sleep(delay)
        tasks.append(asyncio.create_task(acquire_permit(arrival)))
    await asyncio.gather(*tasks)
    return admissions


def worst_excess(admissions: list[Admission], rates: tuple[float, ...]) -> float:
    """Return the largest excess over the bound among all organisations."""
    worst = 0.0
    for i in range(len(rates)):
        times = [
            r.admitted_at
            for r in admissions
            if r.arrival.organisation == i and r.admitted_at is not None
        ]
        worst = max(worst, burst_excess(times, limits_of(rates)[organisation_name(i)]))
    return worst


def wrongly_refused_ratio(admissions: list[Admission], exact: list[Admission]) -> float:
    """Return the ratio of refused requests among those that should be admitted.

    These are the requests that one exact bucket for the fleet admits. The overloaded
    organisation is left out; it is measured by the ratio of its rate that is used.

    :param exact: decisions of the exact bucket
    """
    admissible = {r.arrival for r in exact if r.admitted_at is not None}
    admissible = {a for a in admissible if a.organisation != OVERLOADED_INDEX}
    refused = sum(r.admitted_at is None and r.arrival in admissible for r in admissions)
    return refused / max(1, len(admissible))


def sent_totals(fleet: LimiterFleet) -> tuple[float, float]:
    """Return the number of messages and bytes that all hosts have sent."""
    totals = [0.0, 0.0]
    for network in fleet.networks.values():
        for i, counter in enumerate((network.messages, network.bytes)):
            for family in counter.collect():
                for sample in family.samples:
                    sent = sample.labels.get("direction") == "sent"
                    if sample.name.endswith("_total") and sent:
                        totals[i] += sample.value
    return totals[0], totals[1]


async def start_fleet(rates: tuple[float, ...], hosts: int) -> LimiterFleet:
    """Start a fleet and wait until each organisation has an owner and a full bucket."""
    limits = limits_of(rates)
    fleet = LimiterFleet(limits.get)
    await fleet.start(hosts)
    await fleet.wait_for_grants(list(limits))
    await asyncio.sleep(2 * BURST_SECONDS)
    return fleet


async def measure_steady(report: Report) -> None:
    """Measure bound, refusals and messages, and compare with local buckets."""
    arrivals = schedule(RATES, HOSTS, STEADY_SECONDS, 1, True)
    fleet = await start_fleet(RATES, HOSTS)
    before, _ = sent_totals(fleet)
    admissions = await send_arrivals(fleet, arrivals)
    messages = (sent_totals(fleet)[0] - before) / STEADY_SECONDS
    await fleet.stop()
    exact = replay_local_buckets(arrivals, RATES, 1, 1)
    report.add_at_most(
        "steady: over the bound", worst_excess(admissions, RATES), "tokens", 0
    )
    refused = wrongly_refused_ratio(admissions, exact)
    report.add_at_most("steady: refused inside the rate", refused, "ratio", 0.001)
    admitted_count = sum(
        r.admitted_at is not None
        for r in admissions
        if r.arrival.organisation == OVERLOADED_INDEX
    )
    exact_count = sum(
        r.admitted_at is not None
        for r in exact
        if r.arrival.organisation == OVERLOADED_INDEX
    )
    report.add_figure(
        "steady: admitted of the overloaded", admitted_count / exact_count, "ratio"
    )
    report.add_figure("steady: peer messages, all hosts", messages, "1/s")
    report.add_figure("steady: requests", len(arrivals) / STEADY_SECONDS, "1/s")
    for label, divisor in (("limit divided by hosts", HOSTS), ("full limit", 1)):
        naive = replay_local_buckets(arrivals, RATES, HOSTS, divisor)
        over = worst_excess(naive, RATES)
        report.add_figure(f"naive, {label}: over the bound", over, "tokens")
        share = wrongly_refused_ratio(naive, exact)
        report.add_figure(f"naive, {label}: refused inside the rate", share, "ratio")


async def measure_owner_loss(report: Report) -> None:
    """Measure bound and refusals while an owner is lost without a handover."""
    arrivals = schedule(RATES, HOSTS, OWNER_LOSS_SECONDS, 2, True)
    fleet = await start_fleet(RATES, HOSTS)
    lost = fleet.owner_of(organisation_name(0))

    async def lose_owner() -> None:
        await asyncio.sleep(2.0)
        await fleet.kill(lost)
        await asyncio.sleep(REMOVAL_DELAY_SECONDS)
        del fleet.infos[lost]

    loss_task = asyncio.create_task(lose_owner())
    admissions = await send_arrivals(fleet, arrivals)
    await loss_task
    await fleet.stop()
    exact = replay_local_buckets(arrivals, RATES, 1, 1)
    report.add_at_most(
        "death: over the bound", worst_excess(admissions, RATES), "tokens", 0
    )
    refused = wrongly_refused_ratio(admissions, exact)
    note = f"owner of the largest lost; {OWNER_LOSS_SECONDS:g} s"
    report.add_at_most(
        "death: refused inside the rate", refused, "ratio", 0.01, note=note
    )
    waits = sorted(
        r.admitted_at - r.arrival.at for r in admissions if r.admitted_at is not None
    )
    report.add_figure("death: longest wait of an admitted", waits[-1], "s")


async def measure_slopes(report: Report) -> None:
    """Measure control-plane cost by hosts and organisations at a fixed total load."""
    for hosts, copies in ((3, 1), (9, 1), (18, 1), (9, 4), (9, 16)):
        rates = tuple(rate / copies for rate in RATES for _ in range(copies))
        arrivals = schedule(rates, hosts, SLOPE_SECONDS, 3, False)
        fleet = await start_fleet(rates, hosts)
        before = sent_totals(fleet)
        cpu = time.process_time()
        await send_arrivals(fleet, arrivals)
        cpu = time.process_time() - cpu
        after = sent_totals(fleet)
        await fleet.stop()
        label = f"cost, {hosts} hosts, {len(rates)} organisations"
        scale = hosts * SLOPE_SECONDS
        report.add_figure(
            f"{label}: messages", (after[0] - before[0]) / scale, "1/s/host"
        )
        report.add_figure(f"{label}: bytes", (after[1] - before[1]) / scale, "B/s/host")
        note = "includes the load generator"
        report.add_figure(f"{label}: processor", cpu / scale, "s/s/host", note)


async def measure() -> Report:
    """Run the benchmark."""
    report = Report("limits", 'make bench ARGS="limits"')
    await measure_steady(report)
    await measure_owner_loss(report)
    await measure_slopes(report)
    return report
