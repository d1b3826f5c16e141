"""State of the stand-in for the platform service: versioned objects, change log."""

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
    """The object exists already or has another revision."""


class ObjectNotFound(Exception):
    """The object does not exist."""


class Expired(Exception):
    """The requested version is no longer in the change log."""


@dataclass(frozen=True)
class Change:
    """One change of one object.

    :param version: version of the whole service after the change
    :param kind: kind of the object
    :param type: ``ADDED``, ``MODIFIED`` or ``DELETED``
    :param object: the object after the change; if deleted, its last state with the
        version of the deletion
    """

    version: int
    kind: str
    type: str
    object: Object


@dataclass
class PlatformFaults:
    """Faults that can be set while the stand-in serves requests.

    :param down: reject every call with 503
    :param delay_seconds: delay before each call is handled
    :param lose_write_answers: number of next writes that take effect and whose
        connection is aborted instead of a response
    :param lose_writes: number of next writes whose connection is aborted before they
        take effect
    :param down_after_writes: number of next writes after which ``down`` is set; 0
        disables the fault
    :param calls_per_second: reject calls above this rate with 429; 0 means no limit
    :param cut_watches: number of open or next watches whose connection is aborted
    :param skip_watch_events: number of next watch events that are not delivered
    :param hold_watches: send nothing on open watches, as on a connection that delivers
        no packets
    :param expire_watches: number of next watches that are rejected with 410
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
    hold_watches: bool = False


@dataclass
class PlatformState:
    """All objects of the service, with one version number that increases by writes."""

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
            raise ObjectNotFound(name) from None

    def list(self, kind: str) -> list[Object]:
        """Return the objects of a kind, sorted by name."""
        return sorted(
            self.objects.get(kind, {}).values(), key=lambda i: i["metadata"]["name"]
        )

    def create(self, kind: str, item: Object) -> Object:
        """Store a new object.

        :raises Conflict: if the name exists
        """
        name = item["metadata"]["name"]
        if name in self.objects.get(kind, {}):
            raise Conflict(name)
        return self._store(kind, item, "ADDED")

    def update(self, kind: str, item: Object) -> Object:
        """Replace an object's spec; if a revision is given, compare it first.

        :raises Absent: if it does not exist
        :raises Conflict: if the revision differs
        """
        metadata = item["metadata"]
        current = self._checked(kind, metadata["name"], metadata.get("revision"))
        return self._store(kind, current | {"spec": item.get("spec")}, "MODIFIED")

    def set_status(self, kind: str, name: str, item: Object) -> Object:
        """Replace an object's status.

        :raises Absent: if it does not exist
        :raises Conflict: if the revision differs
        """
        revision = item.get("metadata", {}).get("revision")
        current = self._checked(kind, name, revision)
        return self._store(kind, current | {"status": item.get("status")}, "MODIFIED")

    def delete(self, kind: str, name: str, revision: int | None) -> Object:
        """Delete an object; if a revision is given, compare it first.

        :raises Absent: if it does not exist
        :raises Conflict: if the revision differs
        """
        current = self._checked(kind, name, revision)
        del self.objects[kind][name]
        self.version += 1
        metadata = current["metadata"] | {"revision": self.version}
        removed = current | {"metadata": metadata}
        self.changes.append(Change(self.version, kind, "DELETED", removed))
        return removed

    def _checked(self, kind: str, name: str, revision: int | None) -> Object:
        current = self.get(kind, name)
        if revision is not None and revision != current["metadata"]["revision"]:
            raise Conflict(name)
        return current

    def changes_since(self, kind: str, version: int) -> list[Change]:
        """Return the changes of a kind after a version.

        :raises Expired: if the change log does not go back to that version
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
        name = item["metadata"]["name"]
        existing = self.objects.get(kind, {}).get(name)
        if existing is not None and (existing["spec"], existing["status"]) == (
            item.get("spec"),
            item.get("status"),
        ):
            return existing
        self.version += 1
        created = existing["metadata"]["create_rev"] if existing else self.version
        stored = {
            "metadata": {
                "name": name,
                "revision": self.version,
                "create_rev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": copy.deepcopy(item.get("spec")),
            "status": copy.deepcopy(item.get("status")),
        }
        self.objects.setdefault(kind, {})[name] = stored
        self.changes.append(Change(self.version, kind, change_type, stored))
        return stored
