"""Max-min fair order between organisations, earliest due first inside one."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from primroseford.batch.state import Job


@dataclass(frozen=True)
class Shares:
    """Cost given to each organisation, divided by its weight.

    :param served: virtual time by organisation
    :param waiting: organisations that had work at the last choice
    :param reached: highest virtual time at which work was started
    """

    served: Mapping[str, float] = field(default_factory=dict)
    waiting: frozenset[str] = frozenset()
    reached: float = 0.0


def enter(shares: Shares, waiting: Collection[str]) -> Shares:
    """Return the shares with the organisations that have work now.

    An organisation that returns starts level with those that kept working; time
    without work earns it nothing.

    :param waiting: organisations with work that can start
    """
    now = frozenset(waiting)
    if now == shares.waiting:
        return shares
    stayed = [shares.served[name] for name in now & shares.waiting]
    level = min(stayed, default=shares.reached)
    served = {name: value for name, value in shares.served.items() if name in now}
    for name in now - shares.waiting:
        served[name] = max(shares.served.get(name, level), level)
    return Shares(served, now, shares.reached)


def choose(shares: Shares) -> str | None:
    """Return the organisation whose work starts next."""
    return min(shares.waiting, key=lambda n: (shares.served[n], n), default=None)


def charge(shares: Shares, organisation: str, cost: float, weight: float) -> Shares:
    """Return the shares after work of an organisation started.

    :param cost: estimated cost of the work; negative gives cost back
    :param weight: share of the organisation relative to others
    """
    if organisation not in shares.served:
        return shares
    before = shares.served[organisation]
    served = {**shares.served, organisation: before + cost / weight}
    return Shares(served, shares.waiting, max(shares.reached, before))


def due_order(jobs: Collection[tuple[str, Job]]) -> list[tuple[str, Job]]:
    """Return jobs of one organisation in the order in which they run."""
    return sorted(jobs, key=lambda pair: (pair[1].due_at, pair[0]))
