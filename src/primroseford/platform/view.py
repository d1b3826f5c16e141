"""Local view of a kind, and functions that apply lists and watch events to it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any

from primroseford.ids import Version
from primroseford.platform.objects import EventType
from primroseford.platform.objects import ObjectList
from primroseford.platform.objects import PlatformObject
from primroseford.platform.objects import WatchEvent


@dataclass
class View:
    """Last known objects of a kind.

    :param version: version of the service that the view has reached
    :param objects: objects by name
    """

    version: Version = Version(0)
    objects: dict[str, PlatformObject] = field(default_factory=dict)


@dataclass(frozen=True)
class Delta:
    """Changes that advance a view to a newer version.

    :param version: version after the changes
    :param events: changes of single objects in their order; an object may have several
    """

    version: Version
    events: tuple[WatchEvent, ...]


def encode_list(view: View) -> dict[str, Any]:
    """Encode a view for another host.

    It is used for kinds that this system only reads, so labels and operation ids are
    omitted.
    """
    items = [
        {"name": o.name, "version": o.version, "spec": o.spec, "status": o.status}
        for o in view.objects.values()
    ]
    return {"version": view.version, "items": items}


def decode_list(kind: str, content: dict[str, Any]) -> ObjectList:
    """Decode a list from the result of ``encode_list``.

    :raises KeyError: if a field is missing
    """
    items = (
        PlatformObject(
            kind, i["name"], Version(i["version"]), i["spec"], status=i["status"]
        )
        for i in content["items"]
    )
    return ObjectList(Version(content["version"]), tuple(items))


def is_equal(view: View, listed: ObjectList) -> bool:
    """Return whether a list has the objects of a view in the same versions."""
    versions = {item.name: item.version for item in view.objects.values()}
    return versions == {item.name: item.version for item in listed.items}


def apply_list(view: View, listed: ObjectList) -> Delta | None:
    """Update a view to the state of a list.

    :param view: changed in place
    :param listed: all objects of the kind
    :returns: the changes, with a deletion for each object that is not in the list; none
        if the list is older than the view
    """
    if listed.version < view.version:
        return None
    names = {item.name for item in listed.items}
    events = [
        WatchEvent(EventType.DELETED, listed.version, item)
        for name, item in view.objects.items()
        if name not in names
    ]
    for item in listed.items:
        current = view.objects.get(item.name)
        if current is None:
            events.append(WatchEvent(EventType.ADDED, item.version, item))
        elif current.version < item.version:
            events.append(WatchEvent(EventType.MODIFIED, item.version, item))
    view.version = listed.version
    view.objects = {item.name: item for item in listed.items}
    return Delta(listed.version, tuple(events))


def apply_event(view: View, event: WatchEvent) -> Delta | None:
    """Apply one watch event to a view.

    :param view: changed in place
    :param event: the event
    :returns: the change; none if the view has already reached the event's version
    """
    if event.version <= view.version:
        return None
    view.version = event.version
    item = event.object
    if item is None:
        return Delta(event.version, ())
    if event.type is EventType.DELETED:
        current = view.objects.pop(item.name, None)
        events = () if current is None else (event,)
        return Delta(event.version, events)
    current = view.objects.get(item.name)
    view.objects[item.name] = item
    change = EventType.ADDED if current is None else EventType.MODIFIED
    return Delta(event.version, (WatchEvent(change, event.version, item),))
