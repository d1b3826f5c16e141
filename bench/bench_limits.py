"""Benchmark of the fleet-wide limits over real loopback peer connections."""

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
OVERLOADED = 1
LOAD = 0.7
OVERLOAD = 5.0
HOST_SKEW = 0.6
STEADY_SECONDS = 15.0
DEATH_SECONDS = 25.0
REMOVED_AFTER_SECONDS = 7.0
SLOPE_SECONDS = 5.0
DEADLINE_SECONDS = 10.0


@dataclass(frozen=True)
class Arrival:
    """One request of a schedule."""

    at: float
    organisation: int
    host: int


@dataclass
class Result:
    """What became of an arrival; the time is that of the permit."""

    arrival: Arrival
    admitted_at: float | None


def name_of(index: int) -> OrganisationId:
    """Return the name of an organisation."""
    return OrganisationId(f"organisation-{index}")


def limits_of(rates: tuple[float, ...]) -> dict[OrganisationId, Limit]:
    """Return the limits by name."""
    return {
        name_of(i): Limit(rate, max(5.0, rate * BURST_SECONDS))
        for i, rate in enumerate(rates)
    }


def schedule(
    rates: tuple[float, ...], hosts: int, seconds: float, seed: int, overload: bool
) -> list[Arrival]:
    """Return Poisson arrivals, most of them at the first host."""
    source = random.Random(seed)
    arrivals = []
    for i, rate in enumerate(rates):
        factor = OVERLOAD if overload and i == OVERLOADED else LOAD
        at = source.expovariate(rate * factor)
        while at < seconds:
            host = 0 if source.random() < HOST_SKEW else source.randrange(hosts)
            arrivals.append(Arrival(at, i, host))
            at += source.expovariate(rate * factor)
    return sorted(arrivals, key=lambda arrival: arrival.at)


def over_bound(times: list[float], limit: Limit) -> float:
    """Return the most that any window holds over rate times length and burst."""
    worst = level = last = 0.0
    for at in sorted(times):
        level = max(0.0, level - limit.rate * (at - last)) + 1
        last = at
        worst = max(worst, level)
    return max(0.0, worst - limit.burst)


def local_buckets(
    arrivals: list[Arrival], rates: tuple[float, ...], hosts: int, divisor: int
) -> list[Result]:
    """Admit by one exact bucket for each host, without talk between hosts."""
    limits = limits_of(rates)
    levels: dict[tuple[int, int], tuple[float, float]] = {}
    results = []
    for arrival in arrivals:
        limit = limits[name_of(arrival.organisation)]
        key = (arrival.organisation, arrival.host % hosts)
        level, at = levels.get(key, (limit.burst / divisor, 0.0))
        refilled = level + limit.rate / divisor * (arrival.at - at)
        level = min(limit.burst / divisor, refilled)
        admitted = level >= 1
        levels[key] = (level - admitted, arrival.at)
        results.append(Result(arrival, arrival.at if admitted else None))
    return results


async def drive(fleet: LimiterFleet, arrivals: list[Arrival]) -> list[Result]:
    """Send the arrivals at their times; a lost host's callers go to another."""
    start = boottime()
    results: list[Result] = []

    async def one(arrival: Arrival) -> None:
        names = sorted(fleet.limiters)
        limiter = fleet.limiters[names[arrival.host % len(names)]]
        organisation = name_of(arrival.organisation)
        deadline = boottime() + DEADLINE_SECONDS
        try:
            await limiter.acquire(organisation, 1, deadline)
        except PrimrosefordError:
            results.append(Result(arrival, None))
        else:
            results.append(Result(arrival, boottime() - start))

    tasks = []
    for arrival in arrivals:
        delay = arrival.at - (boottime() - start)
        if delay > 0:
            await asyncio.sleep(delay)
        tasks.append(asyncio.create_task(one(arrival)))
    await asyncio.gather(*tasks)
    return results


def worst_excess(results: list[Result], rates: tuple[float, ...]) -> float:
    """Return the amount over the bound of the worst organisation."""
    worst = 0.0
    for i in range(len(rates)):
        times = [
            r.admitted_at
            for r in results
            if r.arrival.organisation == i and r.admitted_at is not None
        ]
        worst = max(worst, over_bound(times, limits_of(rates)[name_of(i)]))
    return worst


def refused_inside(results: list[Result], exact: list[Result]) -> float:
    """Return the share refused of what one exact bucket for the fleet admits.

    The overloaded organisation is measured by its use of the rate instead.
    """
    inside = {r.arrival for r in exact if r.admitted_at is not None}
    inside = {a for a in inside if a.organisation != OVERLOADED}
    refused = sum(r.admitted_at is None and r.arrival in inside for r in results)
    return refused / max(1, len(inside))


def traffic(fleet: LimiterFleet) -> tuple[float, float]:
    """Return messages and bytes that all hosts have sent."""
    totals = [0.0, 0.0]
    for network in fleet.networks.values():
        for i, counter in enumerate((network.messages, network.bytes)):
            for family in counter.collect():
                for sample in family.samples:
                    sent = sample.labels.get("direction") == "sent"
                    if sample.name.endswith("_total") and sent:
                        totals[i] += sample.value
    return totals[0], totals[1]


async def new_fleet(rates: tuple[float, ...], hosts: int) -> LimiterFleet:
    """Start a fleet and wait for its owners."""
    limits = limits_of(rates)
    fleet = LimiterFleet(limits.get)
    await fleet.start(hosts)
    await fleet.ready(list(limits))
    await asyncio.sleep(2 * BURST_SECONDS)
    return fleet


async def measure_steady(report: Report) -> None:
    """Measure bound, refusals and messages beside the naive ways."""
    arrivals = schedule(RATES, HOSTS, STEADY_SECONDS, 1, True)
    fleet = await new_fleet(RATES, HOSTS)
    before, _ = traffic(fleet)
    results = await drive(fleet, arrivals)
    messages = (traffic(fleet)[0] - before) / STEADY_SECONDS
    await fleet.stop()
    exact = local_buckets(arrivals, RATES, 1, 1)
    report.at_most("steady: over the bound", worst_excess(results, RATES), "tokens", 0)
    refused = refused_inside(results, exact)
    report.at_most("steady: refused inside the rate", refused, "ratio", 0.001)
    used = sum(
        r.admitted_at is not None
        for r in results
        if r.arrival.organisation == OVERLOADED
    )
    possible = sum(
        r.admitted_at is not None for r in exact if r.arrival.organisation == OVERLOADED
    )
    report.plain("steady: admitted of the overloaded", used / possible, "ratio")
    report.plain("steady: peer messages, all hosts", messages, "1/s")
    report.plain("steady: requests", len(arrivals) / STEADY_SECONDS, "1/s")
    for label, divisor in (("limit divided by hosts", HOSTS), ("full limit", 1)):
        naive = local_buckets(arrivals, RATES, HOSTS, divisor)
        over = worst_excess(naive, RATES)
        report.plain(f"naive, {label}: over the bound", over, "tokens")
        share = refused_inside(naive, exact)
        report.plain(f"naive, {label}: refused inside the rate", share, "ratio")


async def measure_death(report: Report) -> None:
    """Measure bound and refusals over the sudden death of an owner."""
    arrivals = schedule(RATES, HOSTS, DEATH_SECONDS, 2, True)
    fleet = await new_fleet(RATES, HOSTS)
    lost = fleet.owner_of(name_of(0))

    async def kill() -> None:
        await asyncio.sleep(2.0)
        await fleet.kill(lost)
        await asyncio.sleep(REMOVED_AFTER_SECONDS)
        del fleet.infos[lost]

    killing = asyncio.create_task(kill())
    results = await drive(fleet, arrivals)
    await killing
    await fleet.stop()
    exact = local_buckets(arrivals, RATES, 1, 1)
    report.at_most("death: over the bound", worst_excess(results, RATES), "tokens", 0)
    refused = refused_inside(results, exact)
    note = f"owner of the largest lost; {DEATH_SECONDS:g} s"
    report.at_most("death: refused inside the rate", refused, "ratio", 0.01, note=note)
    waits = sorted(
        r.admitted_at - r.arrival.at for r in results if r.admitted_at is not None
    )
    report.plain("death: longest wait of an admitted", waits[-1], "s")


async def measure_slopes(report: Report) -> None:
    """Measure control cost over hosts and organisations at a fixed total load."""
    for hosts, copies in ((3, 1), (9, 1), (18, 1), (9, 4), (9, 16)):
        rates = tuple(rate / copies for rate in RATES for _ in range(copies))
        arrivals = schedule(rates, hosts, SLOPE_SECONDS, 3, False)
        fleet = await new_fleet(rates, hosts)
        before = traffic(fleet)
        cpu = time.process_time()
        await drive(fleet, arrivals)
        cpu = time.process_time() - cpu
        after = traffic(fleet)
        await fleet.stop()
        label = f"cost, {hosts} hosts, {len(rates)} organisations"
        scale = hosts * SLOPE_SECONDS
        report.plain(f"{label}: messages", (after[0] - before[0]) / scale, "1/s/host")
        report.plain(f"{label}: bytes", (after[1] - before[1]) / scale, "B/s/host")
        note = "includes the load generator"
        report.plain(f"{label}: processor", cpu / scale, "s/s/host", note)


async def measure() -> Report:
    """Return the figures of all parts."""
    report = Report("limits", 'make bench ARGS="limits"')
    await measure_steady(report)
    await measure_death(report)
    await measure_slopes(report)
    return report
