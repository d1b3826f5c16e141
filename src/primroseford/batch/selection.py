"""Selection of the next item of each organisation that can start on a runner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseford.batch.decisions import may_start_item

if TYPE_CHECKING:
    from primroseford.batch.claimed_chunk import ClaimedChunk
    from primroseford.batch.feeder import RunnerFeeder
    from primroseford.configuration.tables import Route


@dataclass(frozen=True)
class Candidate:
    """An item that can start.

    :param index: position of the item in its chunk
    :param suspect: a runner died during an earlier attempt of the item
    """

    chunk: ClaimedChunk
    index: int
    route: Route
    repeatable: bool
    suspect: bool


def startable_items(
    feeder: RunnerFeeder, nonrepeatable_slots: int
) -> dict[str, Candidate]:
    """Return the next item that can start, by organisation.

    :param feeder: the runner's feeder
    :param nonrepeatable_slots: most non-repeatable items that may be in flight
    """
    in_flight = [
        in_flight_item.candidate for in_flight_item in feeder.in_flight_items.values()
    ]
    nonrepeatable_running = sum(not candidate.repeatable for candidate in in_flight)
    suspect_running = any(candidate.suspect for candidate in in_flight)
    startable_chunks = []
    for chunk in sorted(
        feeder.claimed_chunks, key=lambda c: (c.job.due_at, c.name, c.number)
    ):
        blocked_until = feeder.blocked_until.get(chunk.job.organisation, 0.0)
        route = feeder.route_of(chunk.job) if chunk.pending else None
        if route is None or blocked_until > feeder.context.clock():
            continue
        if route.repeatable or nonrepeatable_running < nonrepeatable_slots:
            startable_chunks.append((chunk, route))
    # Suspects start only on an idle runner. When a chunk has nothing else left, no
    # other items start until the runner has drained; otherwise a steady flow of
    # other work would block the suspects forever.
    drain_for_suspects = any(
        set(chunk.pending) <= chunk.suspects for chunk, _ in startable_chunks
    )
    found: dict[str, Candidate] = {}
    for chunk, route in startable_chunks:
        index = _next_index(chunk, drain_for_suspects)
        owner = chunk.job.organisation
        if index is None or owner in found:
            continue
        suspect = index in chunk.suspects
        if may_start_item(suspect, len(in_flight), suspect_running):
            found[owner] = Candidate(chunk, index, route, route.repeatable, suspect)
    return found


def _next_index(chunk: ClaimedChunk, want_suspect: bool) -> int | None:
    for index in chunk.pending:
        if (index in chunk.suspects) is want_suspect:
            return index
    return None
