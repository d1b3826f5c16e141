"""Merges the watches of all kinds into a single sequence of deltas."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from primroseford.configuration.objects import Change
from primroseford.configuration.objects import Delta
from primroseford.configuration.objects import encode_change
from primroseford.ids import Version
from primroseford.platform.objects import EventType

if TYPE_CHECKING:
    from primroseford.configuration.objects import ObjectSet
    from primroseford.platform.objects import ObjectList
    from primroseford.platform.objects import WatchEvent


@dataclass
class KindFeed:
    """Changes of one kind, as read by lists and a watch.

    :param position: version that the watch has reached
    :param known_versions: version of each object that exists at ``position``
    :param pending: changes that are not part of a delta yet
    :param jumps: intervals of versions whose intermediate states were not observed
    :param undated_deletions: deleted objects whose deletion has no known version yet
    :param repaired: objects with a pending change that came from a list, because its
        event was lost
    """

    kind: str
    position: Version = Version(0)
    known_versions: dict[str, Version] = field(default_factory=dict)
    pending: list[Change] = field(default_factory=list)
    jumps: list[tuple[Version, Version]] = field(default_factory=list)
    undated_deletions: set[str] = field(default_factory=set)
    repaired: set[str] = field(default_factory=set)


@dataclass
class WatchMerge:
    """State of the merge of all feeds.

    A delta ends only at a version that every feed has reached, so that writes to
    several kinds take effect in the order in which the platform accepted them.

    :param published: end version of the last delta
    """

    feeds: dict[str, KindFeed]
    published: Version = Version(0)


def create_merge(kinds: tuple[str, ...], state: ObjectSet) -> WatchMerge:
    """Return a merge that continues from a set of objects.

    :param kinds: watched kinds
    :param state: objects in force
    """
    feeds = {kind: KindFeed(kind, state.version) for kind in kinds}
    for change in state.objects.values():
        if change.kind in feeds:
            feeds[change.kind].known_versions[change.name] = change.version
    return WatchMerge(feeds, state.version)


def record_list(feed: KindFeed, found: ObjectList) -> None:
    """Record a complete list of a kind.

    A change whose event was lost has a version below the feed's position, which later
    deltas do not cover. It is recorded with the lowest version that a later delta
    covers.

    :param found: list of all objects; ignored if it is older than the feed
    """
    if found.version < feed.position:
        return
    assigned_version = Version(max(found.version, feed.position + 1))
    names = {item.name for item in found.items}
    for name in [n for n in feed.known_versions if n not in names]:
        _record(feed, Change(assigned_version, feed.kind, name, None))
        feed.repaired.add(name)
    for item in found.items:
        if feed.known_versions.get(item.name, -1) < item.version:
            change = encode_change(item)
            if item.version <= feed.position:
                change = replace(change, version=assigned_version)
            _record(feed, change)
            if change.version == assigned_version:
                feed.known_versions[item.name] = item.version
                feed.repaired.add(item.name)
    feed.undated_deletions.clear()
    _advance_position(feed, found.version)


def record_event(feed: KindFeed, event: WatchEvent) -> None:
    """Record one watch event.

    A DELETED event can carry the version of the object before its deletion. Such a
    deletion gets the version of the kind's next event as an upper bound.
    """
    if event.type is EventType.DELETED and event.object is not None:
        if event.version <= feed.position:
            if feed.known_versions.get(event.object.name, -1) <= event.version:
                feed.undated_deletions.add(event.object.name)
            return
        _resolve_deletions(feed, event.version)
        _record(feed, Change(event.version, feed.kind, event.object.name, None))
    elif event.version < feed.position:
        return
    else:
        if event.object is not None and event.version > feed.position:
            if event.object.name in feed.undated_deletions:
                # The object was deleted at an unknown version and created again.
                feed.undated_deletions.discard(event.object.name)
                _advance_position(feed, event.version)
            _record(feed, encode_change(event.object))
        _resolve_deletions(feed, event.version)
    feed.position = max(feed.position, event.version)


def next_delta(merge: WatchMerge) -> Delta | None:
    """Return the changes up to the version that all feeds have reached."""
    end = min(feed.position for feed in merge.feeds.values())
    jumps = [jump for feed in merge.feeds.values() for jump in feed.jumps]
    while inside := [first for first, last in jumps if first < end < last]:
        end = min(inside)
    if end <= merge.published:
        return None
    changes: list[Change] = []
    published = tuple(jump for jump in jumps if jump[1] <= end)
    for feed in merge.feeds.values():
        changes += [c for c in feed.pending if c.version <= end]
        feed.pending = [c for c in feed.pending if c.version > end]
        feed.jumps = [jump for jump in feed.jumps if jump[1] > end]
    changes.sort(key=lambda c: c.version)
    delta = Delta(merge.published, end, tuple(changes), published)
    merge.published = end
    return delta


def lagging_kinds(merge: WatchMerge) -> list[str]:
    """Return the kinds whose feeds have not reached the newest pending change."""
    waiting = [c.version for feed in merge.feeds.values() for c in feed.pending]
    newest = max(waiting, default=merge.published)
    return [kind for kind, feed in merge.feeds.items() if feed.position < newest]


def _record(feed: KindFeed, change: Change) -> None:
    if change.body is None:
        if feed.known_versions.pop(change.name, None) is None:
            return
    else:
        feed.known_versions[change.name] = change.version
    if change.name in feed.repaired:
        # The event supersedes the change that a list recorded with an assigned version.
        feed.repaired.discard(change.name)
        feed.pending = [
            c
            for c in feed.pending
            if c.name != change.name or c.version < change.version
        ]
    feed.pending.append(change)


def _resolve_deletions(feed: KindFeed, version: Version) -> None:
    if not feed.undated_deletions or version <= feed.position:
        return
    for name in feed.undated_deletions:
        _record(feed, Change(version, feed.kind, name, None))
    feed.undated_deletions.clear()
    _advance_position(feed, version)


def _advance_position(feed: KindFeed, version: Version) -> None:
    if version > feed.position + 1:
        feed.jumps.append((feed.position, version))
    feed.position = max(feed.position, version)
