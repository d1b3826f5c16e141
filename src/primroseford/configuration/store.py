"""The configuration that a host has in force."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

from pydantic import ValidationError

from primroseford.configuration.tables import RECORD_TYPES
from primroseford.configuration.tables import Tables

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from primroseford.configuration.tables import Record
    from primroseford.ids import Version
    from primroseford.platform.objects import PlatformObject


class ConfigurationStore:
    """Holds the tables in force; their version only grows."""

    def __init__(self) -> None:
        self.tables = Tables()
        self.rejected: dict[tuple[str, str], str] = {}
        self.callbacks: list[Callable[[Tables], None]] = []

    def current(self) -> Tables:
        """Return the tables in force."""
        return self.tables

    def on_change(self, callback: Callable[[Tables], None]) -> None:
        """Call ``callback`` with each new version of the tables."""
        self.callbacks.append(callback)

    def replace(self, version: Version, objects: Iterable[PlatformObject]) -> bool:
        """Put a snapshot in force unless a newer one is.

        :param version: version of the snapshot
        :param objects: all objects of the configuration's kinds
        :returns: whether the snapshot was applied
        """
        if version <= self.tables.version:
            return False
        records: dict[str, dict[str, Record]] = {kind: {} for kind in RECORD_TYPES}
        self.rejected = {}
        for item in objects:
            try:
                record = RECORD_TYPES[item.kind].model_validate(
                    item.spec | {"name": item.name}
                )
            except ValidationError as error:
                self.rejected[item.kind, item.name] = str(error)
            else:
                records[item.kind][item.name] = record
        frozen = {kind: MappingProxyType(value) for kind, value in records.items()}
        self.tables = Tables(version, **frozen)
        for callback in self.callbacks:
            callback(self.tables)
        return True
