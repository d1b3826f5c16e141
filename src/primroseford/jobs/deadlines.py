"""Which items can be in time, here and in the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.jobs.forecast import Forecast
from primroseford.jobs.forecast import needed_slots
from primroseford.jobs.forecast import rank

if TYPE_CHECKING:
    from primroseford.gateway.state import Gateway
    from primroseford.ids import JobId
    from primroseford.jobs.run import ItemRun
    from primroseford.jobs.run import JobRun


class Outlook:
    """What the items of this host and of the others still need.

    :param runs: jobs that this host runs, by id
    :ivar forecasts: what items take, by the path prefix of their route
    """

    def __init__(self, gateway: Gateway, runs: dict[JobId, JobRun]) -> None:
        self.gateway = gateway
        self.runs = runs
        self.forecasts: dict[str, Forecast] = {}

    def forecast(self, item: ItemRun) -> Forecast:
        """Return what items of an item's route take."""
        return self.forecasts.setdefault(item.job.prefix, Forecast())

    def spare(self, item: ItemRun, now: float) -> float:
        """Return the seconds that an item has to spare; negative if it will be late.

        :param now: local time in seconds
        """
        return self.forecast(item).spare(len(item.data), item.due - now)

    def rank(self, item: ItemRun, now: float) -> tuple[int, float]:
        """Return the place of an item in the order; the lowest goes first.

        :param now: local time in seconds
        """
        left = self.forecast(item).left(len(item.data))
        return rank(self.spare(item, now), left, item.due - now, bool(item.data))

    def waiting(self) -> tuple[int, int]:
        """Return how many items wait here that can be in time, and how many others."""
        now = self.gateway.clock()
        waiting = [item for run in self.runs.values() for item in run.waiting]
        ready = sum(self.spare(item, now) >= 0 for item in waiting)
        return ready, len(waiting) - ready

    def waiting_elsewhere(self) -> tuple[int, int]:
        """Return the same of the other hosts."""
        return self.gateway.members.waiting_items(self.gateway.clock())

    def ready(self) -> int:
        """Return how many items of all hosts wait that can be in time."""
        return self.waiting()[0] + self.waiting_elsewhere()[0]

    def own_part(self) -> float:
        """Return which part of the items that go next in the fleet waits here."""
        own, peers = self.waiting(), self.waiting_elsewhere()
        for mine, others in zip(own, peers, strict=True):
            if mine + others:
                return mine / (mine + others)
        return 0.0

    def needed_slots(self, item: ItemRun, batch: int, due: float) -> float:
        """Return the slots that batch of all hosts needs to be in time.

        :param item: one of the waiting items, for what such items take
        :param batch: running items of all hosts
        :param due: seconds after its submission in which a job is due
        """
        return needed_slots(self.ready(), batch, self.forecast(item).left(0), due)
