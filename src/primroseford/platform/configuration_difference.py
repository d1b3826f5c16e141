"""Readable difference between two versions of the operator's configuration."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from primroseford.configuration.apply import FieldChange
from primroseford.configuration.apply import diff_specs
from primroseford.platform.configuration_check import printable
from primroseford.platform.configuration_check import spec_of
from primroseford.platform.configuration_fields import KEY_FIELD
from primroseford.platform.configuration_fields import shorten_key

PART_BY_LIST = {
    "routes": "route",
    "services": "service",
    "tenants": "organisation",
}
"""Name of an entry in the output by the list that holds it."""
HIDDEN = "..."


class DifferenceKind(Enum):
    """Kind of a difference."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True)
class Difference:
    """An entry that differs.

    :param part: ``route``, ``service``, ``organisation``, or ``configuration`` for
        all other fields
    :param name: name of the entry, empty for ``configuration``
    :param changes: fields that differ; of keys only those added or removed, shortened
    """

    kind: DifferenceKind
    part: str
    name: str = ""
    changes: tuple[FieldChange, ...] = ()


def diff_configurations(old: Any, new: Any) -> list[Difference]:
    """Return the differences between two configurations, valid or not.

    :param old: result of ``read_configuration``
    :param new: result of ``read_configuration``
    """
    specs = [s if isinstance(s, dict) else {} for s in (spec_of(old), spec_of(new))]
    rest = [{k: v for k, v in s.items() if k not in PART_BY_LIST} for s in specs]
    changes = diff_specs(*rest)
    found = []
    if changes:
        kind = DifferenceKind.CHANGED
        found.append(Difference(kind, "configuration", changes=changes))
    for list_name, part in PART_BY_LIST.items():
        before, after = (_entries_by_name(spec.get(list_name)) for spec in specs)
        for name in sorted(before.keys() | after.keys()):
            if name not in before:
                found.append(Difference(DifferenceKind.ADDED, part, name))
            elif name not in after:
                found.append(Difference(DifferenceKind.REMOVED, part, name))
            else:
                diff = _diff_tenants if list_name == "tenants" else diff_specs
                changes = diff(before[name], after[name])
                if changes:
                    kind = DifferenceKind.CHANGED
                    found.append(Difference(kind, part, name, changes))
    return found


def _entries_by_name(entries: Any) -> dict[str, dict[str, Any]]:
    """Return the objects of a list by name, or by position if that isn't unique."""
    named: dict[str, dict[str, Any]] = {}
    for position, entry in enumerate(entries if isinstance(entries, list) else ()):
        if not isinstance(entry, dict):
            continue
        name = entry.get("name")
        name = printable(name) if isinstance(name, str) else ""
        if not name or name in named:
            name = f"{name}#{position}"
        named[name] = entry
    return named


def _diff_tenants(old: dict[str, Any], new: dict[str, Any]) -> tuple[FieldChange, ...]:
    """Return the changes of an organisation without texts, which could be keys."""
    changes = []
    for name in sorted(old.keys() | new.keys()):
        before, after = old.get(name), new.get(name)
        if name == KEY_FIELD.name:
            before, after = _texts(before), _texts(after)
            removed = [shorten_key(key) for key in sorted(before - after)]
            added = [shorten_key(key) for key in sorted(after - before)]
            if removed or added:
                changes.append(FieldChange(name, removed, added))
        elif before != after:
            changes.append(FieldChange(name, _hide(before), _hide(after)))
    return tuple(changes)


def _texts(value: Any) -> set[str]:
    entries = value if isinstance(value, list) else ()
    return {entry for entry in entries if isinstance(entry, str)}


def _hide(value: Any) -> Any:
    return value if value is None or isinstance(value, int | float) else HIDDEN
