"""Decides which prompt part or request crashes runners, from crashes and successes.

The end of a runner shows only that one of the requests which it was beginning to answer
may have caused it. A part that causes crashes is in several of them, and no request
with it gets past the start of its answer. Requests beside it are bystanders; their
parts are cleared by the next request that is served.

A request that comes again is a subject like a part. Its attempts follow each other, so
that crashes of different runners under it are seldom a coincidence, even within the
time of one common cause.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping

    from primroseford.ids import PromptPartId

CRASHES_TO_QUARANTINE = 3
"""Crashes at different moments after which a part is quarantined. Fewer would blame the
bystanders of unrelated crashes."""
REQUEST_PREFIX = "request/"
"""Beginning of the id of a whole request. Ids of prompt parts do not begin with it."""
MIN_REQUEST_MOMENTS = 2
"""Different moments at which a request must have crashed runners to be quarantined."""
SAME_MOMENT_SECONDS = 0.2
"""Crashes that follow each other within this time count as one: runners that fail
together have a common cause, such as the loss of power of a failure domain."""
COMMON_CRASHES = 3
"""Crashes at one moment that must have a part in common to count twice."""


@dataclass(frozen=True)
class Crash:
    """End of a runner instance while it was beginning to answer requests.

    :param at: local time in seconds
    :param parts: shared parts of these requests, each with its position in the prompt
    """

    at: float
    parts: Mapping[PromptPartId, int]


def find_deadly_parts(
    crashes: Iterable[Crash],
    served_at: Mapping[PromptPartId, float],
    quarantined: Collection[PromptPartId] = (),
) -> list[PromptPartId]:
    """Return the parts that explain repeated crashes, most certain first.

    If several parts are in the same crashes, the one that has not been served for the
    longest time is chosen, then the one in most crashes, then the one that fewest
    requests share, which is the last in the prompt. A crash that a chosen part explains
    does not count against other parts.

    :param crashes: crashes of different runner instances
    :param served_at: local time at which a request with a part was last served
    :param quarantined: parts that are quarantined already
    """
    unexplained = list(crashes)
    for subject in quarantined:
        unexplained = _remove_explained(unexplained, subject)
    deadly: list[PromptPartId] = []
    while True:
        ranking = [
            (served_at.get(part, -math.inf), -count, -position, part)
            for part, (count, position) in _suspicions(unexplained, served_at).items()
            if count >= CRASHES_TO_QUARANTINE
        ]
        if not ranking:
            return deadly
        part = min(ranking)[-1]
        deadly.append(part)
        unexplained = _remove_explained(unexplained, part)


def _remove_explained(crashes: Iterable[Crash], subject: PromptPartId) -> list[Crash]:
    """Return the crashes that a deadly subject does not explain.

    The crashes under one request count as a single one for the parts of its prompt,
    since a part may be what makes the request deadly.
    """
    remaining = [crash for crash in crashes if subject not in crash.parts]
    if not subject.startswith(REQUEST_PREFIX):
        return remaining
    explained = [crash for crash in crashes if subject in crash.parts]
    first = min(explained, key=lambda crash: crash.at, default=None)
    if first is not None:
        parts = {
            part: position
            for part, position in first.parts.items()
            if not part.startswith(REQUEST_PREFIX)
        }
        remaining.append(Crash(first.at, parts))
    return remaining


def _suspicions(
    crashes: Iterable[Crash], served_at: Mapping[PromptPartId, float]
) -> dict[PromptPartId, tuple[int, int]]:
    """Return for each part its count of crashes since it was served, and its position.

    Crashes at one moment count once, or twice if several of them and most of all have
    the part: a common cause does not choose runners by their requests. Each crash under
    a request counts, if they are at different moments.
    """
    counts: Counter[PromptPartId] = Counter()
    positions: dict[PromptPartId, int] = {}
    requests: Counter[PromptPartId] = Counter()
    for moment in group_by_moment(crashes):
        members: Counter[PromptPartId] = Counter()
        for crash in moment:
            for part, position in crash.parts.items():
                positions[part] = max(position, positions.get(part, 0))
                members[part] += crash.at > served_at.get(part, -math.inf)
        for part, number in members.items():
            is_common = number >= COMMON_CRASHES and 2 * number > len(moment)
            counts[part] += 2 if is_common else min(number, 1)
            if part.startswith(REQUEST_PREFIX):
                requests[part] += number
    for request, number in requests.items():
        if counts[request] >= MIN_REQUEST_MOMENTS:
            counts[request] = max(counts[request], number)
    return {part: (counts[part], positions[part]) for part in positions}


def group_by_moment(crashes: Iterable[Crash]) -> list[list[Crash]]:
    """Return the crashes in order of time, in groups of those at the same moment."""
    moments: list[list[Crash]] = []
    for crash in sorted(crashes, key=lambda crash: crash.at):
        if moments and crash.at - moments[-1][0].at <= SAME_MOMENT_SECONDS:
            moments[-1].append(crash)
        else:
            moments.append([crash])
    return moments
