"""Slots of a runner that batch may use, and items to preempt for online requests."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import deque
    from collections.abc import Sequence

    from primroseford.configuration.tables import BatchShare


REPORT_SKEW_SECONDS = 0.1
SAMPLE_INTERVAL_SECONDS = 0.02
HISTORY_SECONDS = 5.0
ONLINE_IDLE_SECONDS = 5.0
"""No headroom is reserved on a runner without online requests for this long."""


@dataclass(frozen=True)
class Sample:
    """Requests in flight on a runner at one time, as its feeder counts them.

    :param at: local time in seconds
    :param in_flight: batch items and online requests that hosts have reported
    """

    at: float
    in_flight: int


@dataclass(frozen=True)
class LoadReport:
    """Load that a runner reports itself.

    :param at: local time of the measurement in seconds
    :param in_flight: requests that ran or were queued on the runner
    """

    at: float
    in_flight: int


@dataclass(frozen=True)
class RunningItem:
    """A batch item in flight.

    :param start_number: increases with each started item
    """

    start_number: int
    repeatable: bool


def add_sample(history: deque[Sample], now: float, in_flight: int) -> None:
    """Add a sample, and drop samples that are older than any load report.

    Samples within SAMPLE_INTERVAL_SECONDS are merged into their maximum: one sample
    per event of a fast runner made full garbage collections take 90 ms.

    :param history: samples in order of time
    :param now: local time in seconds
    :param in_flight: batch items and online requests that hosts have reported
    """
    if history and now - history[-1].at < SAMPLE_INTERVAL_SECONDS:
        last = history.pop()
        history.append(Sample(last.at, max(last.in_flight, in_flight)))
    else:
        history.append(Sample(now, in_flight))
    while len(history) > 1 and history[1].at < now - HISTORY_SECONDS:
        history.popleft()


def unreported_load(report: LoadReport | None, history: Sequence[Sample]) -> int:
    """Return the number of requests on a runner that no host has reported.

    A load report arrives late, so it is compared with the samples of the time of its
    measurement. REPORT_SKEW_SECONDS allows for requests and messages in transit;
    without it, batch's own items counted as online load and were preempted.

    :param history: samples in order of time
    """
    if report is None:
        return 0
    first, last = report.at - REPORT_SKEW_SECONDS, report.at + REPORT_SKEW_SECONDS
    before = [sample.in_flight for sample in history if sample.at < first][-1:]
    near = [sample.in_flight for sample in history if first <= sample.at <= last]
    return max(0, report.in_flight - max(before + near, default=0))


def batch_window(
    max_in_flight: int, online: int, unreported: int, headroom: int
) -> int:
    """Return how many batch items a runner may have in flight.

    :param online: online requests in flight as reported by all hosts
    :param unreported: requests in flight that no host has reported
    :param headroom: slots reserved for a burst of online requests
    """
    return max(0, max_in_flight - online - unreported - headroom)


def nonrepeatable_slots(max_in_flight: int, share: BatchShare, window: int) -> int:
    """Return how many non-repeatable items may be in flight.

    They cannot be preempted, so they get at most a fixed share of the runner's slots.
    """
    if share.share_nonrepeatable == 0:
        return 0
    slots = max(1, math.floor(max_in_flight * share.share_nonrepeatable))
    return min(slots, window)


def select_preempted(running: Sequence[RunningItem], window: int) -> list[RunningItem]:
    """Return the items to preempt when the window has shrunk, newest first.

    The newest items lose the least work.
    """
    excess = max(0, len(running) - window)
    repeatable = [item for item in running if item.repeatable]
    return sorted(repeatable, key=lambda item: -item.start_number)[:excess]
