"""Which item of each organisation can start next on a runner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseford.batch.decisions import may_start

if TYPE_CHECKING:
    from primroseford.batch.claimed_chunk import Work
    from primroseford.batch.feeder import RunnerFeeder
    from primroseford.configuration.tables import Route


@dataclass(frozen=True)
class Choice:
    """An item that can start."""

    work: Work
    index: int
    route: Route
    repeatable: bool
    suspect: bool


def choices(feeder: RunnerFeeder, nonrepeatable: int) -> dict[str, Choice]:
    """Return the next item of each organisation that can start one.

    :param feeder: the runner's feeder
    :param nonrepeatable: places for items that may not be repeated
    """
    flying = [flight.choice for flight in feeder.in_flight_items.values()]
    taken = sum(not choice.repeatable for choice in flying)
    suspect_flies = any(choice.suspect for choice in flying)
    open_works = []
    for work in sorted(
        feeder.claimed_chunks, key=lambda w: (w.job.due_at, w.name, w.number)
    ):
        blocked = feeder.blocked.get(work.job.organisation, 0.0)
        route = feeder.route_of(work.job) if work.pending else None
        if route is None or blocked > feeder.context.clock():
            continue
        if route.repeatable or taken < nonrepeatable:
            open_works.append((work, route))
    # Suspects that are all that is left of a chunk would wait forever beside a
    # steady flow of other work, so the runner is first left to drain.
    drain = any(set(work.pending) <= work.suspects for work, _ in open_works)
    found: dict[str, Choice] = {}
    for work, route in open_works:
        index = _next_index(work, drain)
        owner = work.job.organisation
        if index is None or owner in found:
            continue
        suspect = index in work.suspects
        if may_start(suspect, len(flying), suspect_flies):
            found[owner] = Choice(work, index, route, route.repeatable, suspect)
    return found


def _next_index(work: Work, suspects: bool) -> int | None:
    for index in work.pending:
        if (index in work.suspects) is suspects:
            return index
    return None
