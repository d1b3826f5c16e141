"""Merging of one watch for each kind into a single sequence of deltas."""

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
    """What the watch of one kind has delivered.

    :param position: version that the watch has reached
    :param known: version of each object that exists at ``position``
    :param pending: changes that are not part of a delta yet
    :param jumps: intervals of versions whose inner states were not seen
    :param deleted: deletions whose version is not known yet
    :param repaired: objects with a pending change that a list brought
    """

    kind: str
    position: Version = Version(0)
    known: dict[str, Version] = field(default_factory=dict)
    pending: list[Change] = field(default_factory=list)
    jumps: list[tuple[Version, Version]] = field(default_factory=list)
    deleted: set[str] = field(default_factory=set)
    repaired: set[str] = field(default_factory=set)


@dataclass
class WatchMerge:
    """Feeds of all kinds.

    A delta ends only at a version that every feed has reached, so that writes to
    several kinds take effect in the order in which the platform accepted them.

    :param published: end of the last delta
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
            feeds[change.kind].known[change.name] = change.version
    return WatchMerge(feeds, state.version)


def take_list(feed: KindFeed, found: ObjectList) -> None:
    """Record a complete list of a kind.

    A change whose event was lost lies before the feed's position, where no delta
    reaches any more. It is recorded with the next version that a delta can have.

    :param found: list of all objects; ignored if it is older than the feed
    """
    if found.version < feed.position:
        return
    late = Version(max(found.version, feed.position + 1))
    names = {item.name for item in found.items}
    for name in [n for n in feed.known if n not in names]:
        _record(feed, Change(late, feed.kind, name, None))
        feed.repaired.add(name)
    for item in found.items:
        if feed.known.get(item.name, -1) < item.version:
            change = encode_change(item)
            if item.version <= feed.position:
                change = replace(change, version=late)
            _record(feed, change)
            if change.version == late:
                feed.known[item.name] = item.version
                feed.repaired.add(item.name)
    feed.deleted.clear()
    _jump(feed, found.version)


def take_event(feed: KindFeed, event: WatchEvent) -> None:
    """Record one watch event.

    A DELETED event can carry the version of the object before its deletion. Such a
    deletion gets the version of the kind's next event as an upper bound.
    """
    if event.type is EventType.DELETED and event.object is not None:
        if event.version <= feed.position:
            if feed.known.get(event.object.name, -1) <= event.version:
                feed.deleted.add(event.object.name)
            return
        _settle_deletions(feed, event.version)
        _record(feed, Change(event.version, feed.kind, event.object.name, None))
    elif event.version < feed.position:
        return
    else:
        if event.object is not None and event.version > feed.position:
            if event.object.name in feed.deleted:
                # It was absent for a time before, from a version that is not known.
                feed.deleted.discard(event.object.name)
                _jump(feed, event.version)
            _record(feed, encode_change(event.object))
        _settle_deletions(feed, event.version)
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


def behind(merge: WatchMerge) -> list[str]:
    """Return the kinds whose feeds hold back a change of another kind."""
    waiting = [c.version for feed in merge.feeds.values() for c in feed.pending]
    newest = max(waiting, default=merge.published)
    return [kind for kind, feed in merge.feeds.items() if feed.position < newest]


def _record(feed: KindFeed, change: Change) -> None:
    if change.body is None:
        if feed.known.pop(change.name, None) is None:
            return
    else:
        feed.known[change.name] = change.version
    if change.name in feed.repaired:
        # The event of a version takes the place of a repair that was given it.
        feed.repaired.discard(change.name)
        feed.pending = [
            c
            for c in feed.pending
            if c.name != change.name or c.version < change.version
        ]
    feed.pending.append(change)


def _settle_deletions(feed: KindFeed, version: Version) -> None:
    if not feed.deleted or version <= feed.position:
        return
    for name in feed.deleted:
        _record(feed, Change(version, feed.kind, name, None))
    feed.deleted.clear()
    _jump(feed, version)


def _jump(feed: KindFeed, version: Version) -> None:
    if version > feed.position + 1:
        feed.jumps.append((feed.position, version))
    feed.position = max(feed.position, version)
