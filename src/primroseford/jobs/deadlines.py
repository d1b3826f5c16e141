"""Estimates which items can meet their deadline, on this host and in the fleet."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from primroseford.jobs.forecast import PREEMPTION_FACTOR
from primroseford.jobs.forecast import Forecast
from primroseford.jobs.forecast import needed_slots
from primroseford.jobs.forecast import rank

if TYPE_CHECKING:
    from primroseford.gateway.state import Gateway
    from primroseford.ids import JobId
    from primroseford.jobs.run import ItemRun
    from primroseford.jobs.run import JobRun


class DeadlineEstimator:
    """Slack and demand of the items of this host and of its peers.

    :param runs: jobs that this host runs, by id
    :ivar forecasts: run time estimates by path prefix of the route
    """

    def __init__(self, gateway: Gateway, runs: dict[JobId, JobRun]) -> None:
        self.gateway = gateway
        self.runs = runs
        self.forecasts: dict[str, Forecast] = {}

    def forecast(self, item: ItemRun) -> Forecast:
        """Return the run time estimate of an item's route."""
        return self.forecasts.setdefault(item.job.prefix, Forecast())

    def slack(self, item: ItemRun, now: float) -> float:
        """Return an item's slack in seconds; negative if it will miss its deadline.

        :param now: local time in seconds
        """
        return self.forecast(item).slack(len(item.data), item.deadline - now)

    def max_time_factor(self, item: ItemRun, now: float) -> float:
        """Return the largest time factor of a runner with which an item is in time.

        It is infinite for an item that is late in any case.

        :param now: local time in seconds
        """
        slack = self.slack(item, now)
        if slack < 0:
            return math.inf
        remaining = self.forecast(item).remaining_seconds(len(item.data))
        return 1 + slack / (PREEMPTION_FACTOR * remaining)

    def rank(self, item: ItemRun, now: float) -> tuple[int, float]:
        """Return the sort key of an item; the lowest starts first.

        :param now: local time in seconds
        """
        remaining = self.forecast(item).remaining_seconds(len(item.data))
        return rank(
            self.slack(item, now), remaining, item.deadline - now, bool(item.data)
        )

    def waiting_items(self) -> tuple[int, int]:
        """Count this host's waiting items.

        :returns: how many can meet their deadline, and how many cannot
        """
        now = self.gateway.clock()
        waiting = [
            item for run in self.runs.values() for item in run.waiting if not item.held
        ]
        feasible = sum(self.slack(item, now) >= 0 for item in waiting)
        return feasible, len(waiting) - feasible

    def peer_waiting_items(self) -> tuple[int, int]:
        """Return the same numbers for the live peers."""
        return self.gateway.members.waiting_items(self.gateway.clock())

    def feasible_items(self) -> int:
        """Return how many waiting items of all hosts can meet their deadline."""
        return self.waiting_items()[0] + self.peer_waiting_items()[0]

    def own_share(self) -> float:
        """Return this host's share of the waiting items that the fleet starts next."""
        own_counts, peer_counts = self.waiting_items(), self.peer_waiting_items()
        for own_count, peer_count in zip(own_counts, peer_counts, strict=True):
            if own_count + peer_count:
                return own_count / (own_count + peer_count)
        return 0.0

    def needed_slots(self, item: ItemRun, batch: int, time_limit: float) -> float:
        """Return the slots that batch of all hosts needs to meet its deadlines.

        :param item: a waiting item whose route provides the run time estimate
        :param batch: running items of all hosts
        :param time_limit: seconds from a job's submission to its deadline
        """
        return needed_slots(
            self.feasible_items(),
            batch,
            self.forecast(item).remaining_seconds(0),
            time_limit,
        )
