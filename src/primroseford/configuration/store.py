"""The configuration that is in force on a host."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import Any

import structlog
from pydantic import ValidationError

from primroseford.configuration.objects import Change
from primroseford.configuration.objects import encode_change
from primroseford.configuration.tables import RECORD_TYPES
from primroseford.configuration.tables import Tables

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from primroseford.configuration.tables import Record
    from primroseford.ids import Version
    from primroseford.platform.objects import PlatformObject

    ChangeCallback = Callable[[Sequence[Change]], None]

log = structlog.get_logger()

KINDS = (*RECORD_TYPES, "jobs")
"""Kinds that are distributed to all hosts; ``jobs`` are the headers of batch jobs."""


class ConfigurationStore:
    """Holds the tables in force, whose version only increases.

    :param age: returns the seconds between the last confirmation and a given time
    """

    def __init__(self, age: Callable[[float], float | None] | None = None) -> None:
        self.tables = Tables()
        self.age = age or (lambda now: None)
        self.rejected: dict[tuple[str, str], str] = {}
        self.callbacks: list[Callable[[Tables], None]] = []
        self.subscribers: dict[str, list[ChangeCallback]] = {}

    def current(self) -> Tables:
        """Return the tables in force."""
        return self.tables

    def on_change(self, callback: Callable[[Tables], None]) -> None:
        """Call ``callback`` with the tables after each change of a record.

        Writes of other kinds, such as leases, also increase the version, several
        times a second. They do not call the callbacks, which iterate over all runners.
        """
        self.callbacks.append(callback)

    def subscribe(self, kind: str, callback: ChangeCallback) -> None:
        """Call ``callback`` with the changes of one kind after they took effect.

        :param kind: one of ``KINDS``
        :param callback: called with the changes; ``Change.decode()`` returns the object
        """
        self.subscribers.setdefault(kind, []).append(callback)

    def freshness(self, now: float) -> float | None:
        """Return the seconds since the platform confirmed the tables.

        :returns: none if the tables were never confirmed
        """
        return self.age(now)

    def apply(self, version: Version, changes: Sequence[Change]) -> bool:
        """Put changes in force.

        Only changed records are parsed, and only changed kinds are copied. Records and
        kinds that are equal to those in force keep their identity, also after a
        snapshot, because caches depend on the identity of these objects.

        :param version: version after the changes
        :param changes: changes since the version in force
        :returns: whether the version is newer than the one in force
        """
        if version <= self.tables.version:
            return False
        by_kind: dict[str, list[Change]] = {}
        for change in changes:
            by_kind.setdefault(change.kind, []).append(change)
        fields = {
            kind: self._apply_to_records(kind, by_kind[kind])
            if kind in by_kind
            else getattr(self.tables, kind)
            for kind in RECORD_TYPES
        }
        self.tables = Tables(version, **fields)
        for kind, changed in by_kind.items():
            for subscriber in self.subscribers.get(kind, ()):
                _notify(subscriber, changed)
        if by_kind.keys() & RECORD_TYPES.keys():
            for callback in self.callbacks:
                _notify(callback, self.tables)
        return True

    def replace(self, version: Version, objects: Iterable[PlatformObject]) -> bool:
        """Put a snapshot in force unless the version in force is as new.

        :param version: version of the snapshot
        :param objects: all objects of the configuration's kinds
        :returns: whether the snapshot was applied
        """
        changes = [encode_change(item) for item in objects]
        found = {change.identifier for change in changes}
        for kind in RECORD_TYPES:
            names = [n for n in getattr(self.tables, kind) if (kind, n) not in found]
            changes += [Change(version, kind, name, None) for name in names]
        return self.apply(version, changes)

    def _apply_to_records(
        self, kind: str, changes: Sequence[Change]
    ) -> Mapping[str, Record]:
        in_force: Mapping[str, Record] = getattr(self.tables, kind)
        records = dict(in_force)
        for change in changes:
            self.rejected.pop(change.identifier, None)
            content = change.decode()
            if content is None:
                records.pop(change.name, None)
                continue
            try:
                record = RECORD_TYPES[kind].model_validate(
                    dict(content["spec"]) | {"name": change.name}
                )
                if record != records.get(change.name):
                    records[change.name] = record
            except (ValidationError, TypeError, ValueError) as error:
                # The last valid version of a record stays in force, except for a key:
                # an invalid key record must not continue to admit its caller.
                self.rejected[change.identifier] = str(error)
                if kind == "keys":
                    records.pop(change.name, None)
        return in_force if records == in_force else MappingProxyType(records)


def _notify(callback: Callable[[Any], None], value: object) -> None:
    try:
        callback(value)
    except Exception as error:
        # A failing callback must not prevent the other callbacks.
        log.error("configuration callback failed", error=repr(error))
