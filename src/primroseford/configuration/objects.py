"""The versioned set of configuration objects with its bounded change log."""

from __future__ import annotations

import json
from bisect import bisect_right
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from primroseford.ids import Version

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroseford.platform.objects import PlatformObject

MAX_LOG_CHANGES = 20_000
"""Length of the change log; at 68,000 changes a day it covers about seven hours."""

SLICE_BYTES = 256 * 1024
"""Maximum size of a snapshot slice; far below the frame limit of the peer protocol."""

Identifier = tuple[str, str]
"""Kind and name of an object."""

Jump = tuple[Version, Version]
"""Interval of versions of which only the end state was observed, for example by a list.
An object that was created and deleted inside the interval is not recorded, so an object
set whose version lies strictly inside it needs a snapshot."""

MAX_JUMPS = 1000


@dataclass(frozen=True)
class Change:
    """State of one object after a change.

    :param version: version of the platform's service; exact for a write, an upper
        bound for a deletion that a list revealed
    :param body: JSON of the object; none if it was deleted
    """

    version: Version
    kind: str
    name: str
    body: bytes | None

    @property
    def identifier(self) -> Identifier:
        """Kind and name of the object."""
        return self.kind, self.name

    def decode(self) -> dict[str, Any] | None:
        """Return spec and labels, or none if the object was deleted."""
        return None if self.body is None else json.loads(self.body)


@dataclass(frozen=True)
class Delta:
    """All changes after one version up to and including another.

    :param start: lowest version of a receiver that can apply the delta
    :param end: version after the changes
    :param jumps: intervals; a receiver whose version lies strictly inside one cannot
        apply the delta
    """

    start: Version
    end: Version
    changes: tuple[Change, ...]
    jumps: tuple[Jump, ...] = ()


@dataclass
class ObjectSet:
    """Objects of all kinds at one version.

    :param version: every accepted change up to this version is included
    :param objects: last change of each object that exists
    :param log: changes in the order of their versions, with deletions as tombstones
    :param log_start: lowest version from which a delta can be computed
    :param jumps: intervals of the log of which only the end state was observed
    :param max_log: length to which the log is trimmed
    """

    version: Version = Version(0)
    objects: dict[Identifier, Change] = field(default_factory=dict)
    log: list[Change] = field(default_factory=list)
    log_start: Version = Version(0)
    jumps: list[Jump] = field(default_factory=list)
    max_log: int = MAX_LOG_CHANGES


def encode_change(item: PlatformObject) -> Change:
    """Return an object of the platform as a change.

    :param item: object from a list or a watch
    """
    body = json.dumps(
        {"spec": item.spec, "labels": item.labels},
        sort_keys=True,
        separators=(",", ":"),
    )
    return Change(item.version, item.kind, item.name, body.encode())


def apply_delta(state: ObjectSet, delta: Delta) -> tuple[Change, ...] | None:
    """Apply a delta that starts at or below the set's version and ends above it.

    Changes at or below the set's version are already included and are skipped, so a
    late or repeated delta cannot restore an old object.

    :returns: the changes that took effect, or none if the delta cannot be applied
    """
    before = state.version
    if not delta.start <= before < delta.end or _inside(delta.jumps, before):
        return None
    fresh = sorted(
        (c for c in delta.changes if state.version < c.version <= delta.end),
        key=lambda c: c.version,
    )
    applied = []
    for change in fresh:
        current = state.objects.get(change.identifier)
        if change.body is None:
            if state.objects.pop(change.identifier, None) is not None:
                applied.append(change)
        elif current is None or current.version < change.version:
            state.objects[change.identifier] = change
            applied.append(change)
    state.version = delta.end
    state.log.extend(fresh)
    state.jumps.extend(jump for jump in delta.jumps if jump[1] > before)
    _trim_log(state)
    return tuple(applied)


def _inside(jumps: Iterable[Jump], version: Version) -> bool:
    return any(first < version < last for first, last in jumps)


def _trim_log(state: ObjectSet) -> None:
    if len(state.jumps) > MAX_JUMPS:
        _cut_log(state, state.jumps[MAX_JUMPS // 2][1])
    # Trimming a fifth of the log at once keeps the amortised cost of a change constant.
    if len(state.log) <= state.max_log * 5 // 4:
        return
    _cut_log(state, state.log[len(state.log) - state.max_log - 1].version)


def _cut_log(state: ObjectSet, version: Version) -> None:
    state.log_start = version
    state.jumps = [jump for jump in state.jumps if jump[1] > version]
    cut = bisect_right(state.log, state.log_start, key=lambda c: c.version)
    del state.log[:cut]


def make_delta(state: ObjectSet, start: Version) -> Delta | None:
    """Return the last change of each object after a version.

    :param start: version of the receiver
    :returns: none if the log does not reach back to the version, or if only a snapshot
        is safe
    """
    if not state.log_start <= start <= state.version or _inside(state.jumps, start):
        return None
    index = bisect_right(state.log, start, key=lambda c: c.version)
    last = {change.identifier: change for change in state.log[index:]}
    changes = sorted(last.values(), key=lambda c: c.version)
    jumps = tuple(jump for jump in state.jumps if jump[1] > start)
    return Delta(start, state.version, tuple(changes), jumps)


def snapshot_delta(
    state: ObjectSet, version: Version, changes: Iterable[Change]
) -> Delta:
    """Return the delta from a set to a snapshot, which deletes absent objects.

    :param version: version of the snapshot
    :param changes: all objects of the snapshot
    """
    found = {change.identifier: change for change in changes}
    deleted = [
        Change(version, kind, name, None)
        for kind, name in state.objects
        if (kind, name) not in found
    ]
    jump = (state.version, version)
    return Delta(state.version, version, (*found.values(), *deleted), (jump,))


def make_slices(state: ObjectSet) -> tuple[tuple[Change, ...], ...]:
    """Return all objects in slices of limited size; at least one slice."""
    slices: list[list[Change]] = [[]]
    size = 0
    for change in state.objects.values():
        length = len(change.body or b"") + len(change.name)
        if slices[-1] and size + length > SLICE_BYTES:
            slices.append([])
            size = 0
        slices[-1].append(change)
        size += length
    return tuple(tuple(part) for part in slices)
