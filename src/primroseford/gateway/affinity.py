"""Cache affinity: prefer runners that probably have a shared prompt prefix cached.

If requests with large shared prefixes were distributed over all runners, each runner
would process every prefix again and evict the others from its cache. All hosts
therefore send the requests with one prefix to the same few runners, unless these have
no free capacity.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseford.gateway.placement import MAX_RUNNER_QUEUE
from primroseford.gateway.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primroseford.gateway.placement import RunnerLoad
    from primroseford.ids import PromptPartId

MIN_SHARED_PREFIX_TOKENS = 1000
"""Smallest shared part of a prompt that is used for affinity. An engine processes about
100 tokens per ms, so a smaller part costs less than a few steps on a busier runner."""
RUNNERS_PER_PREFIX = 2
"""Runners that cache one prefix. The second serves while the first is full or down, at
the cost of memory for one more copy."""


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt; the last part belongs to one request only.

    :param id: identifier of the content
    :param tokens: number of tokens
    """

    id: PromptPartId
    tokens: int


def shared_part_positions(parts: Sequence[PromptPart]) -> dict[PromptPartId, int]:
    """Return the shared parts of a prompt, each with its position."""
    return {part.id: position for position, part in enumerate(parts[:-1])}


def prefix_cache_key(parts: Sequence[PromptPart]) -> str:
    """Return the key of the prefix up to the largest shared part; empty if small.

    Engines cache a part only together with all parts before it, so the key names them.
    """
    shared = parts[:-1]
    if not shared:
        return ""
    largest = max(range(len(shared)), key=lambda number: shared[number].tokens)
    if shared[largest].tokens < MIN_SHARED_PREFIX_TOKENS:
        return ""
    return ",".join(part.id for part in shared[: largest + 1])


def choose_cached_runner(
    key: str, loads: Sequence[RunnerLoad], best: RunnerLoad
) -> RunnerLoad | None:
    """Return a runner that probably has a prefix cached and has free capacity, if any.

    :param key: key of the prefix
    :param loads: loads of the candidate runners
    :param best: runner that would be chosen by load alone
    """
    preferred = ranked(key, loads, lambda load: load.key.name, RUNNERS_PER_PREFIX)
    for load in preferred:
        if load.free > 0:
            return load
    for load in preferred:
        if load.free > -MAX_RUNNER_QUEUE and load.free >= best.free - 1:
            return load
    return None
