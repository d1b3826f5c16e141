"""Runners that probably keep the shared part of a prompt.

Answers a load in which requests share large parts of their prompts: spread over all
runners, each part is read again on each of them and crowds out the others. All hosts
send the requests of a part to the same few runners, unless these have no room.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseford.gateway.placement import QUEUE_AT_RUNNER
from primroseford.gateway.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primroseford.gateway.placement import RunnerLoad

MIN_SHARED_TOKENS = 1000
"""Size of a shared part from which runners are chosen by it. An engine reads about 100
tokens in a ms, so a smaller part costs less than a step or two of a fuller runner."""
HOME_RUNNERS = 2
"""Runners that keep one part: a second one for the time in which the first is full or
away, at the price of the memory of one more copy."""


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt, in order; the last part is the request's own.

    :param tokens: number of tokens
    """

    id: str
    tokens: int


def prefix_cache_key(parts: Sequence[PromptPart]) -> str:
    """Return the key of the largest shared part; empty if there is no large one.

    A part is kept only together with all parts before it, so these belong to the key.
    """
    shared = parts[:-1]
    if not shared:
        return ""
    largest = max(range(len(shared)), key=lambda number: shared[number].tokens)
    if shared[largest].tokens < MIN_SHARED_TOKENS:
        return ""
    return ",".join(part.id for part in shared[: largest + 1])


def choose_cached_runner(
    key: str, loads: Sequence[RunnerLoad], best: RunnerLoad
) -> RunnerLoad | None:
    """Return a runner that probably keeps a part and has room; nothing if none has.

    :param loads: runners that may be used
    :param best: the runner that would be chosen by its load
    """
    homes = ranked(key, loads, lambda load: load.key.name, HOME_RUNNERS)
    for home in homes:
        if home.free > 0:
            return home
    for home in homes:
        if home.free > -QUEUE_AT_RUNNER and home.free >= best.free - 1:
            return home
    return None
