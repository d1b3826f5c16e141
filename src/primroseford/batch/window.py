"""Places of a runner that batch may use, and what steps back for online."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import deque
    from collections.abc import Sequence

    from primroseford.configuration.tables import BatchShare


SKEW_SECONDS = 0.1
SAMPLE_SECONDS = 0.02
HISTORY_SECONDS = 5.0
QUIET_SECONDS = 5.0
"""Headroom is not kept on a runner that had no online request for this long."""


@dataclass(frozen=True)
class Sample:
    """What a feeder knew of its runner at one time.

    :param at: local time in seconds
    :param known: batch and online requests in flight
    """

    at: float
    known: int


@dataclass(frozen=True)
class LoadReport:
    """A runner's own report.

    :param at: local time of the measurement in seconds
    :param in_flight: requests that ran or waited then
    """

    at: float
    in_flight: int


@dataclass(frozen=True)
class Running:
    """A batch item in flight.

    :param order: grows with each start
    """

    order: int
    repeatable: bool


def add_sample(history: deque[Sample], now: float, known: int) -> None:
    """Add what is known now, and drop what no report can refer to.

    Samples close to each other are merged into their maximum. A sample for each
    event of a fast runner made full garbage collections last 90 ms.

    :param now: local time in seconds
    :param known: batch and online requests in flight
    """
    if history and now - history[-1].at < SAMPLE_SECONDS:
        last = history.pop()
        history.append(Sample(last.at, max(last.known, known)))
    else:
        history.append(Sample(now, known))
    while len(history) > 1 and history[1].at < now - HISTORY_SECONDS:
        history.popleft()


def unseen_load(report: LoadReport | None, history: Sequence[Sample]) -> int:
    """Return the requests on a runner that no host has told of.

    The lagging report is compared with what was known when it was measured. The
    comparison allows for the time that requests and messages are on their way;
    an exact one took batch's own items for online load and cancelled them.

    :param history: samples in order of time
    """
    if report is None:
        return 0
    first, last = report.at - SKEW_SECONDS, report.at + SKEW_SECONDS
    before = [sample.known for sample in history if sample.at < first][-1:]
    near = [sample.known for sample in history if first <= sample.at <= last]
    return max(0, report.in_flight - max(before + near, default=0))


def batch_window(max_in_flight: int, online: int, unseen: int, headroom: int) -> int:
    """Return how many batch items a runner may have in flight.

    :param online: online requests in flight as told by all hosts
    :param unseen: requests in flight that no host has told of
    :param headroom: places kept free for an online burst
    """
    return max(0, max_in_flight - online - unseen - headroom)


def nonrepeatable_places(max_in_flight: int, share: BatchShare, window: int) -> int:
    """Return how many items that may not be repeated may be in flight.

    They cannot step back, so their places are a fixed part of the runner.
    """
    if share.share_nonrepeatable == 0:
        return 0
    places = max(1, math.floor(max_in_flight * share.share_nonrepeatable))
    return min(places, window)


def choose_preempted(running: Sequence[Running], window: int) -> list[Running]:
    """Return the items to cancel when the window has shrunk, newest first.

    The newest items have done the least work that is lost.
    """
    excess = max(0, len(running) - window)
    repeatable = [item for item in running if item.repeatable]
    return sorted(repeatable, key=lambda item: -item.order)[:excess]
