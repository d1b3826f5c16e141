"""Checks the operator's configuration before it is written to the store."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from primroseford.configuration.check import Problem
from primroseford.configuration.check import Severity
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.table_check import check_organisation
from primroseford.gateway.table_check import check_route
from primroseford.gateway.table_check import find_hidden_routes
from primroseford.platform.configuration import CONFIGURATION_KIND
from primroseford.platform.configuration import decode_organisation
from primroseford.platform.configuration import decode_route
from primroseford.platform.configuration import decode_tables
from primroseford.platform.configuration_fields import BACKEND_FIELDS
from primroseford.platform.configuration_fields import FIELD_BY_ATTRIBUTE
from primroseford.platform.configuration_fields import KEY_FIELD
from primroseford.platform.configuration_fields import LIMIT_FIELDS
from primroseford.platform.configuration_fields import ROUTE_FIELDS
from primroseford.platform.configuration_fields import ROUTE_SERVICE_FIELD
from primroseford.platform.configuration_fields import SERVICE_FIELDS
from primroseford.platform.configuration_fields import TENANT_FIELDS
from primroseford.platform.configuration_fields import TOP_FIELDS
from primroseford.platform.configuration_fields import shorten_key
from primroseford.platform.configuration_fields import show
from primroseford.platform.lenient_json import MAX_DEPTH

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from primroseford.gateway.table_check import Finding
    from primroseford.ids import OrganisationId
    from primroseford.platform.configuration_fields import Field

Entry = dict[str, Any]

MAX_VALUES = 1_000_000
"""Maximum number of values in a document. References in YAML can repeat a value so
often that a small file has more values than fit into memory."""
MAX_INTEGER_BITS = 64
"""Python converts integers of more than 4,300 digits to text only on request."""
CONFIGURATION_FIELDS = {"metadata", "spec", "routes", "services", "tenants"}


def is_configuration(document: Any) -> bool:
    """Return whether a document is the platform's configuration or its spec."""
    if not isinstance(document, dict):
        return False
    kind = document.get("kind")
    return kind in (None, CONFIGURATION_KIND) and not CONFIGURATION_FIELDS.isdisjoint(
        document
    )


def read_configuration(document: Any) -> Any:
    """Return a document with the types of JSON only.

    YAML has further types, for which the text form is returned.

    :param document: decoded JSON or YAML
    :raises PrimrosefordError: MALFORMED if it is nested too deeply or has too many
        values
    """
    count = 0

    def convert(value: Any, depth: int) -> Any:
        nonlocal count
        count += 1
        if depth > MAX_DEPTH or count > MAX_VALUES:
            raise PrimrosefordError(
                ResultCode.MALFORMED,
                f"the document is nested deeper than {MAX_DEPTH} levels or has more "
                f"than {MAX_VALUES} values",
            )
        if isinstance(value, dict):
            return {printable(k): convert(v, depth + 1) for k, v in value.items()}
        if isinstance(value, list | tuple | set):
            return [convert(inner, depth + 1) for inner in value]
        if isinstance(value, int) and value.bit_length() > MAX_INTEGER_BITS:
            return f"a number of {value.bit_length()} bits"
        if isinstance(value, float) and not math.isfinite(value):
            return str(value)
        known = value is None or isinstance(value, bool | int | float | str)
        return value if known else str(value)

    return convert(document, 0)


def printable(value: Any) -> str:
    """Return the text of a name, with escapes for characters that can't be printed."""
    if isinstance(value, int) and value.bit_length() > MAX_INTEGER_BITS:
        return hex(value)
    text = str(value)
    return text if text.isprintable() else ascii(text)[1:-1]


def spec_of(document: Any) -> Any:
    """Return the spec of a document that is the object as written, or the spec itself.

    :param document: result of ``read_configuration``
    """
    if isinstance(document, dict) and not document.keys().isdisjoint(
        ("spec", "metadata")
    ):
        return document.get("spec")
    return document


def check_configuration(
    document: Any, source: str, in_force: Any = None
) -> list[Problem]:
    """Return all problems of a configuration.

    :param document: result of ``read_configuration``
    :param source: name of the document, with which the paths begin
    :param in_force: configuration in force, if known; also from ``read_configuration``
    """
    spec = spec_of(document)
    prefix = "" if spec is document else "spec"
    if not isinstance(spec, dict):
        problems = [_invalid("", f"{show(spec)} is not an object with the spec")]
    else:
        problems = list(_check_spec(spec, spec_of(in_force)))
    if not any(problem.severity is Severity.ERROR for problem in problems):
        try:
            decode_tables(spec)
        except PrimrosefordError as error:
            problems.append(Problem(error.code, "", error.message))
    return [
        replace(problem, field=_full_path(source, prefix, problem.field))
        for problem in problems
    ]


def _full_path(source: str, prefix: str, path: str) -> str:
    return ":".join(filter(None, (source, ".".join(filter(None, (prefix, path))))))


def _check_spec(spec: Entry, in_force: Any) -> Iterator[Problem]:
    yield from _check_fields(spec, "", TOP_FIELDS)
    yield from _check_version(spec, in_force)
    yield from _check_services(spec)
    yield from _check_routes(spec)
    if "tenants" in spec:
        yield from _check_tenants(spec)
    yield from _check_limits(spec)


def _check_version(spec: Entry, in_force: Any) -> Iterator[Problem]:
    current = in_force.get("version") if isinstance(in_force, dict) else None
    version = spec.get("version")
    if not isinstance(current, int | float) or not isinstance(version, int | float):
        return
    if version <= current:
        text = f"{show(version)} is not higher than {show(current)}, which is in force"
        yield _invalid("version", text)


def _check_services(spec: Entry) -> Iterator[Problem]:
    yield from _check_list(spec, "services")
    for path, service in _entries(spec, "services"):
        yield from _check_fields(service, path, SERVICE_FIELDS)
        cold = [name for name in ("cold_start_s", "cold_per_s") if service.get(name)]
        if len(cold) == 1:
            absent = "cold_per_s" if cold == ["cold_start_s"] else "cold_start_s"
            text = f"the field is missing or 0, but {cold[0]} is set"
            yield _invalid(f"{path}.{absent}", text, Severity.WARNING)


def _check_routes(spec: Entry) -> Iterator[Problem]:
    yield from _check_list(spec, "routes")
    pools = {
        service["name"]
        for _, service in _entries(spec, "services")
        if isinstance(service.get("name"), str)
    }
    decoded = []
    for path, entry in _entries(spec, "routes"):
        found = list(_check_route_fields(entry, path))
        yield from found
        if any(problem.severity is Severity.ERROR for problem in found):
            continue
        route = decode_route(entry)
        decoded.append((path, route))
        target = "backends" if entry.get("backends") else "service"
        for finding in check_route(route, pools):
            field = FIELD_BY_ATTRIBUTE.get(finding.field, target)
            yield _from_finding(f"{path}.{field}", finding)
    hidden = find_hidden_routes([route for _, route in decoded])
    for position, earlier in hidden.items():
        path, first = decoded[position][0], decoded[earlier][0]
        text = f"the route never matches: {first} has the same host and prefix"
        yield _invalid(path, text)


def _check_route_fields(entry: Entry, path: str) -> Iterator[Problem]:
    yield from _check_fields(entry, path, ROUTE_FIELDS)
    host = entry.get("host")
    if isinstance(host, str) and host != host.lower():
        text = f"{show(host)} is compared in lower case"
        yield _invalid(f"{path}.host", text, Severity.WARNING)
    if not entry.get("backends"):
        yield from _check_fields(entry, path, (ROUTE_SERVICE_FIELD,))
        return
    yield from _check_list(entry, "backends", path)
    for backend_path, backend in _entries(entry, "backends", path):
        yield from _check_fields(backend, backend_path, BACKEND_FIELDS)


def _check_tenants(spec: Entry) -> Iterator[Problem]:
    yield from _check_list(spec, "tenants")
    owners: dict[str, OrganisationId] = {}
    for path, entry in _entries(spec, "tenants"):
        found = [
            *_check_fields(entry, path, TENANT_FIELDS, hide_texts=True),
            *_check_keys(entry, path),
        ]
        yield from found
        if found:
            continue
        organisation = decode_organisation(entry)
        keys = entry.get(KEY_FIELD.name, [])
        for finding in check_organisation(organisation, keys, owners):
            field = FIELD_BY_ATTRIBUTE[finding.field]
            yield _from_finding(f"{path}.{field}", finding)
        owners |= dict.fromkeys(keys, organisation.name)


def _check_keys(entry: Entry, path: str) -> Iterator[Problem]:
    path = f"{path}.{KEY_FIELD.name}"
    keys = entry.get(KEY_FIELD.name, [])
    if not isinstance(keys, list):
        yield _invalid(path, "the value is not a list")
        return
    for position, key in enumerate(keys):
        if not KEY_FIELD.accepts(key):
            yield _invalid(f"{path}.{position}", f"the key is not {KEY_FIELD.allowed}")


def _check_limits(spec: Entry) -> Iterator[Problem]:
    limits = spec.get("limits", {})
    if not isinstance(limits, dict):
        yield _invalid("limits", f"{show(limits)} is not an object")
        return
    found = list(_check_fields(limits, "limits", LIMIT_FIELDS))
    yield from found
    idle, header = limits.get("idle_timeout_ms"), limits.get("header_timeout_ms")
    if not found and None not in (idle, header) and idle < header:
        text = f"{show(idle)} is below header_timeout_ms, which is {show(header)}"
        yield _invalid("limits.idle_timeout_ms", text, Severity.WARNING)


def _check_fields(
    entry: Entry, path: str, fields: Sequence[Field], hide_texts: bool = False
) -> Iterator[Problem]:
    """Yield the problems of the single values of an entry.

    :param hide_texts: show only the start of texts, which could be keys
    """
    for field in fields:
        field_path = f"{path}.{field.name}" if path else field.name
        if field.name not in entry:
            if field.required:
                text = f"the field is missing; expected {field.allowed}"
                yield Problem(ResultCode.MISSING_FIELD, field_path, text)
            continue
        value = entry[field.name]
        if not field.accepts(value):
            hidden = hide_texts and isinstance(value, str)
            shown = show(shorten_key(value) if hidden else value)
            yield _invalid(field_path, f"{shown} is not allowed", field=field)


def _check_list(parent: Entry, name: str, path: str = "") -> Iterator[Problem]:
    """Yield the problems of a list of objects: types and duplicate names."""
    full = f"{path}.{name}" if path else name
    if name not in parent:
        text = "the field is missing; expected a list of objects"
        yield Problem(ResultCode.MISSING_FIELD, full, text)
        return
    if not isinstance(parent[name], list):
        yield _invalid(full, "the value is not a list")
        return
    first: dict[str, int] = {}
    for position, entry in enumerate(parent[name]):
        if not isinstance(entry, dict):
            yield _invalid(f"{full}.{position}", "the value is not an object")
            continue
        entry_name = entry.get("name")
        if not isinstance(entry_name, str):
            continue
        earlier = first.setdefault(entry_name, position)
        if earlier != position:
            text = f"{show(entry_name)} is the name of {full}.{earlier} as well"
            yield Problem(ResultCode.DUPLICATE_NAME, f"{full}.{position}.name", text)


def _entries(parent: Entry, name: str, path: str = "") -> Iterator[tuple[str, Entry]]:
    """Yield the objects in a list with their paths."""
    entries = parent.get(name)
    full = f"{path}.{name}" if path else name
    for position, entry in enumerate(entries if isinstance(entries, list) else ()):
        if isinstance(entry, dict):
            yield f"{full}.{position}", entry


def _from_finding(path: str, finding: Finding) -> Problem:
    severity = Severity.ERROR if finding.is_error else Severity.WARNING
    return Problem(finding.code, path, finding.message, severity=severity)


def _invalid(
    path: str,
    message: str,
    severity: Severity = Severity.ERROR,
    field: Field | None = None,
) -> Problem:
    hint = f"use {field.allowed}" if field else ""
    return Problem(ResultCode.INVALID_VALUE, path, message, hint, severity)
