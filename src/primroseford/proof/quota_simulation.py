"""Simulation of a rate limit over several hosts that exchange admission counts."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import NamedTuple

from primroseford.gateway.quota import Quotas
from primroseford.gateway.tables import Organisation

RATE, BURST = 22.0, 22.0
SEED = 7
WINDOW_SECONDS = 5.0
STEP_SECONDS = 0.01
"""Duration of a step of the simulation."""
START_SECONDS, STEP_COUNT = 5.0, 3000
RECONNECT_SECONDS = 0.5
"""Time in which the requests from an outage of all hosts are sent after its end."""


@dataclass(frozen=True)
class Restart:
    """A restart of all hosts.

    :param at: time of the first restart, or of the loss of all hosts, in seconds
    :param down: seconds for which all hosts are down at the same time
    :param gap: seconds between the restarts of two hosts if they restart in turn
    :param tokens: tokens in the bucket of a host after its restart
    """

    at: float
    down: float = 0.0
    gap: float = 0.0
    tokens: float = 0.0


@dataclass(frozen=True)
class Quiet:
    """Load before a surge.

    :param request_rate: requests per second over all hosts
    :param until: time at which the surge begins, in seconds
    """

    request_rate: float
    until: float


@dataclass
class Outcome:
    """Decisions of all hosts.

    :param admitted: times of admissions, in seconds
    :param refused: times of rejections, in seconds
    """

    admitted: list[float] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)


class Counts(NamedTuple):
    """Counts that a host reports since its start."""

    admitted: int = 0
    asked: int = 0


def simulate_quotas(
    hosts: int,
    request_rate: float,
    lag: float,
    partition: range = range(0),
    restart: Restart | None = None,
    rate: float = RATE,
    quiet: Quiet | None = None,
) -> Outcome:
    """Return the decisions of all hosts in 30 s.

    :param request_rate: requests per second over all hosts
    :param lag: interval at which hosts exchange their counts, in seconds
    :param partition: steps during which a network partition isolates the first host
    :param restart: restart of all hosts during the simulation
    :param rate: rate and burst of the organisation in requests per second
    :param quiet: load before the surge, if it does not begin at once
    """
    caroni = Organisation("caroni", rate, rate)
    quotas, reported = _create_quotas(hosts, 0.0, lag)
    outcome, pending, deferred = Outcome(), 0.0, 0.0
    for step in range(STEP_COUNT):
        now = START_SECONDS + step * STEP_SECONDS
        since = now - restart.at if restart is not None else -1.0
        if restart is not None and 0 <= since < restart.down:
            deferred += request_rate * STEP_SECONDS
            quotas, reported = _create_quotas(hosts, restart.at + restart.down, lag)
            for quota in quotas:
                quota.refill(caroni, now).level = restart.tokens
            continue
        if restart is not None and restart.gap:
            number = round(since / restart.gap)
            if (
                0 <= number < hosts
                and abs(since - number * restart.gap) < STEP_SECONDS / 2
            ):
                _restart_host(quotas, reported, number, now)
                quotas[number].refill(caroni, now).level = restart.tokens
        partitioned = step in partition
        for quota in quotas:
            quota.silent = int(partitioned)
        quotas[0].silent = hosts - 1 if partitioned else 0
        if step % round(lag / STEP_SECONDS) == 0:
            _exchange_counts(quotas, reported, caroni, now, partitioned)
        is_quiet = quiet is not None and now < quiet.until
        pending += (quiet.request_rate if is_quiet else request_rate) * STEP_SECONDS
        if deferred and since < restart.down + RECONNECT_SECONDS:
            pending += deferred * STEP_SECONDS / RECONNECT_SECONDS
        while pending >= 1:
            pending -= 1
            host = (len(outcome.admitted) * 7 + step) % hosts
            admitted = quotas[host].try_admit(caroni, now) == 0
            (outcome.admitted if admitted else outcome.refused).append(now)
    return outcome


def _create_quotas(
    hosts: int, started: float, lag: float
) -> tuple[list[Quotas], list[list[Counts]]]:
    """Return the quotas of starting hosts, and the counts reported between them.

    ``reported[reader][writer]`` are the last counts of the writer that the reader has.
    """
    quotas = [
        Quotas(started, hosts=hosts, report_lag=lag, random=Random(SEED + number))
        for number in range(hosts)
    ]
    return quotas, [[Counts()] * hosts for _ in range(hosts)]


def _restart_host(
    quotas: list[Quotas], reported: list[list[Counts]], number: int, now: float
) -> None:
    """Restart one host; it is not charged for earlier admissions of the others."""
    quotas[number] = Quotas(
        now,
        hosts=len(quotas),
        report_lag=quotas[number].report_lag,
        random=Random(SEED + number),
    )
    for other, quota in enumerate(quotas):
        reported[other][number] = Counts()
        reported[number][other] = _counts(quota)


def _counts(quota: Quotas) -> Counts:
    return Counts(quota.admitted.get("caroni", 0), quota.asked.get("caroni", 0))


def _exchange_counts(
    quotas: list[Quotas],
    reported: list[list[Counts]],
    organisation: Organisation,
    now: float,
    partitioned: bool,
) -> None:
    for reader, quota in enumerate(quotas):
        for writer, other in enumerate(quotas):
            if reader == writer or (partitioned and 0 in (reader, writer)):
                continue
            counts, last = _counts(other), reported[reader][writer]
            reported[reader][writer] = counts
            quota.note_peer_demand(organisation, counts.asked - last.asked, now)
            increase = counts.admitted - last.admitted
            quota.deduct_peer_admissions(organisation, f"h{writer}", increase, now)


def most_in_window(times: list[float]) -> int:
    """Return the largest number of times in any window of ``WINDOW_SECONDS``."""
    largest = first = 0
    for last, time in enumerate(times):
        while times[first] < time - WINDOW_SECONDS:
            first += 1
        largest = max(largest, last - first + 1)
    return largest
