"""State of the platform service stand-in: versioned objects and a change log."""

from __future__ import annotations

import copy
from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import Any

MAX_VALUE_BYTES = 1_000_000
CHANGE_LOG_LENGTH = 20_000

Object = dict[str, Any]


class Conflict(Exception):
    """The condition of a write did not hold."""


class Absent(Exception):
    """The object does not exist."""


class Expired(Exception):
    """The requested version is no longer in the change log."""


@dataclass(frozen=True)
class Change:
    """One change of one object.

    :param version: version of the whole service after the change
    :param kind: kind of the object
    :param type: ``ADDED``, ``MODIFIED`` or ``DELETED``
    :param object: the object after the change; if deleted, the last one with the
        version of its deletion
    """

    version: int
    kind: str
    type: str
    object: Object


@dataclass
class Faults:
    """Faults that can be switched on while the stand-in serves.

    :param down: refuse every call with 503
    :param delay_seconds: wait before each answer
    :param lose_write_answers: number of coming writes that take effect and
        whose answers are lost
    :param lose_writes: number of coming writes that are cut before they take effect
    :param down_after_writes: number of coming writes after whose last one the
        service is down; 0 is off
    :param calls_per_second: refuse calls above this rate with 429; 0 is no limit
    :param cut_watches: end the open watches; each one counts the number down
    :param skip_watch_events: number of coming watch events that are left out
    :param expire_watches: number of coming watches that are refused with 410
    """

    down: bool = False
    delay_seconds: float = 0.0
    lose_write_answers: int = 0
    lose_writes: int = 0
    down_after_writes: int = 0
    calls_per_second: float = 0.0
    cut_watches: int = 0
    skip_watch_events: int = 0
    expire_watches: int = 0


@dataclass
class PlatformState:
    """All objects of the service, with one growing version."""

    version: int = 0
    objects: dict[str, dict[str, Object]] = field(default_factory=dict)
    changes: deque[Change] = field(
        default_factory=lambda: deque(maxlen=CHANGE_LOG_LENGTH)
    )
    calls: Counter[tuple[str, str]] = field(default_factory=Counter)

    def get(self, kind: str, name: str) -> Object:
        """Return one object.

        :raises Absent: if it does not exist
        """
        try:
            return self.objects[kind][name]
        except KeyError:
            raise Absent(name) from None

    def list(self, kind: str, labels: dict[str, str]) -> list[Object]:
        """Return the objects of a kind whose labels include ``labels``."""
        return [
            item
            for item in self.objects.get(kind, {}).values()
            if labels.items() <= item["metadata"].get("labels", {}).items()
        ]

    def create(self, kind: str, item: Object) -> Object:
        """Store a new object.

        :raises Conflict: if the name exists
        """
        name = item["metadata"]["name"]
        if name in self.objects.get(kind, {}):
            raise Conflict(name)
        return self._store(kind, item, "ADDED")

    def update(self, kind: str, item: Object) -> Object:
        """Replace an object on condition of its version.

        :raises Absent: if it does not exist
        :raises Conflict: if the version differs
        """
        metadata = item["metadata"]
        current = self.get(kind, metadata["name"])
        if (
            str(metadata.get("resourceVersion"))
            != current["metadata"]["resourceVersion"]
        ):
            raise Conflict(metadata["name"])
        return self._store(kind, item, "MODIFIED")

    def delete(self, kind: str, name: str, version: str | None) -> Object:
        """Remove an object, on condition of its version if one is given.

        :raises Absent: if it does not exist
        :raises Conflict: if the version differs
        """
        current = self.get(kind, name)
        if version is not None and version != current["metadata"]["resourceVersion"]:
            raise Conflict(name)
        del self.objects[kind][name]
        self.version += 1
        metadata = current["metadata"] | {"resourceVersion": str(self.version)}
        removed = current | {"metadata": metadata}
        self.changes.append(Change(self.version, kind, "DELETED", removed))
        return removed

    def changes_since(self, kind: str, version: int) -> list[Change]:
        """Return the changes of a kind after a version.

        :raises Expired: if the log no longer reaches back that far
        """
        if self.changes and version < self.changes[0].version - 1:
            raise Expired(str(version))
        found: list[Change] = []
        for change in reversed(self.changes):
            if change.version <= version:
                break
            if change.kind == kind:
                found.append(change)
        return found[::-1]

    def _store(self, kind: str, item: Object, change_type: str) -> Object:
        self.version += 1
        stored = copy.deepcopy(item)
        stored["metadata"]["resourceVersion"] = str(self.version)
        self.objects.setdefault(kind, {})[stored["metadata"]["name"]] = stored
        self.changes.append(Change(self.version, kind, change_type, stored))
        return stored
