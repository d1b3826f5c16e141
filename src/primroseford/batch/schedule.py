"""Weighted fair queueing between organisations; earliest due job first within one."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from primroseford.batch.state import Job


@dataclass(frozen=True)
class FairShares:
    """Virtual time of each organisation: cost of its started work by its weight.

    :param virtual_time: virtual time by organisation
    :param waiting: organisations that had work at the last update
    :param max_virtual_time: highest virtual time at which work was started
    """

    virtual_time: Mapping[str, float] = field(default_factory=dict)
    waiting: frozenset[str] = frozenset()
    max_virtual_time: float = 0.0


def update_waiting(shares: FairShares, waiting: Collection[str]) -> FairShares:
    """Return the shares for the organisations that have work now.

    An organisation that has work again starts at the lowest virtual time of those
    that had work throughout, so that it earns no credit while idle.

    :param waiting: organisations with work that can start
    """
    now = frozenset(waiting)
    if now == shares.waiting:
        return shares
    continuing = [shares.virtual_time[name] for name in now & shares.waiting]
    entry_time = min(continuing, default=shares.max_virtual_time)
    virtual_time = {
        name: value for name, value in shares.virtual_time.items() if name in now
    }
    for name in now - shares.waiting:
        virtual_time[name] = max(shares.virtual_time.get(name, entry_time), entry_time)
    return FairShares(virtual_time, now, shares.max_virtual_time)


def next_organisation(shares: FairShares) -> str | None:
    """Return the organisation with the lowest virtual time, or nothing."""
    return min(shares.waiting, key=lambda n: (shares.virtual_time[n], n), default=None)


def charge_cost(
    shares: FairShares, organisation: str, cost: float, weight: float
) -> FairShares:
    """Return the shares after work of an organisation started.

    :param cost: estimated cost of the work; negative for a refund
    :param weight: share of the organisation relative to others
    """
    if organisation not in shares.virtual_time:
        return shares
    before = shares.virtual_time[organisation]
    virtual_time = {**shares.virtual_time, organisation: before + cost / weight}
    return FairShares(
        virtual_time, shares.waiting, max(shares.max_virtual_time, before)
    )


def sort_by_due_time(jobs: Collection[tuple[str, Job]]) -> list[tuple[str, Job]]:
    """Return jobs of one organisation in the order in which they run."""
    return sorted(jobs, key=lambda pair: (pair[1].due_at, pair[0]))
