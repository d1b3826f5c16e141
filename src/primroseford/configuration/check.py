"""Offline check of tables, which reports all problems at once."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

from pydantic import ValidationError

from primroseford.configuration.tables import RECORD_TYPES
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primroseford.configuration.tables import Record

KINDS_BY_DOCUMENT = {
    "Route": "routes",
    "Pool": "pools",
    "Organisation": "organisations",
}
"""Kinds of the platform's objects by kind of table document."""

CODES_BY_ERROR_TYPE = {
    "extra_forbidden": ResultCode.UNKNOWN_FIELD,
    "missing": ResultCode.MISSING_FIELD,
}


class Severity(Enum):
    """Whether a problem prevents that the checked document is used.

    :cvar ERROR: the document must not be used
    :cvar WARNING: the document works, but hardly as intended
    """

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True)
class Problem:
    """One problem in the tables.

    :param code: result code
    :param field: path of the field, starting with the document
    :param message: description of the problem
    :param hint: how to fix it
    """

    code: ResultCode
    field: str
    message: str
    hint: str = ""
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        text = f"[{int(self.code)}] {self.field}: {self.message}"
        if self.severity is Severity.WARNING:
            text = f"Warning {text}"
        return f"{text} Hint: {self.hint}" if self.hint else text


@dataclass
class CheckResult:
    """Valid records, and the problems that were found.

    :param records: valid records by kind and name
    :param specs: content of the documents by kind and name
    """

    records: dict[str, dict[str, Record]] = field(
        default_factory=lambda: {kind: {} for kind in KINDS_BY_DOCUMENT.values()}
    )
    specs: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    problems: list[Problem] = field(default_factory=list)


def check_tables(documents: Sequence[object]) -> list[Problem]:
    """Return all problems of table documents.

    :param documents: decoded YAML documents ``{kind, name, ...fields}``
    """
    return read_tables(documents).problems


def read_tables(documents: Sequence[object]) -> CheckResult:
    """Validate table documents and return the records and all problems.

    :param documents: decoded YAML documents ``{kind, name, ...fields}``
    """
    result = CheckResult()
    named: dict[str, set[str]] = {kind: set() for kind in result.records}
    for number, document in enumerate(documents):
        _read_document(result, named, number, document)
    result.problems += _find_dangling_references(result, named)
    result.problems += _find_ambiguous_routes(result)
    result.problems += _find_duplicate_runners(result)
    return result


def _read_document(
    result: CheckResult, named: dict[str, set[str]], number: int, document: object
) -> None:
    document_path = f"document {number + 1}"
    if not isinstance(document, dict):
        text = "the document is not a mapping"
        result.problems.append(Problem(ResultCode.MALFORMED, document_path, text))
        return
    kind = KINDS_BY_DOCUMENT.get(str(document.get("kind")))
    if kind is None:
        missing = "kind" not in document
        code = ResultCode.MISSING_FIELD if missing else ResultCode.INVALID_VALUE
        text = f"{document.get('kind')!r} is not a kind of table"
        hint = "use " + ", ".join(KINDS_BY_DOCUMENT)
        result.problems.append(Problem(code, f"{document_path}.kind", text, hint))
        return
    name = document.get("name")
    document_path = f"{document['kind']}/{name}" if name else document_path
    spec = {str(k): v for k, v in document.items() if k not in ("kind", "name")}
    if isinstance(name, str):
        if name in named[kind]:
            text = "the name is used twice"
            hint = "rename or remove one of the documents"
            problem = Problem(
                ResultCode.DUPLICATE_NAME, f"{document_path}.name", text, hint
            )
            result.problems.append(problem)
        named[kind].add(name)
    try:
        record = RECORD_TYPES[kind].model_validate(
            spec | ({"name": name} if "name" in document else {})
        )
    except ValidationError as error:
        result.problems += [
            _field_problem(document_path, kind, e) for e in error.errors()
        ]
        return
    result.records[kind].setdefault(str(name), record)
    result.specs.setdefault((kind, str(name)), spec)


def _field_problem(document_path: str, kind: str, error: Any) -> Problem:
    path = ".".join(str(part) for part in (document_path, *error["loc"]))
    code = CODES_BY_ERROR_TYPE.get(error["type"], ResultCode.INVALID_VALUE)
    hint = ""
    if code is ResultCode.UNKNOWN_FIELD:
        known = [n for n in RECORD_TYPES[kind].model_fields if n != "name"]
        hint = "known fields are " + ", ".join(known) if len(error["loc"]) == 1 else ""
    return Problem(code, path, error["msg"][:1].lower() + error["msg"][1:], hint)


def _find_dangling_references(
    result: CheckResult, named: dict[str, set[str]]
) -> list[Problem]:
    problems = []
    for name, route in result.records["routes"].items():
        references = [("pool", "pools", route.pool)] + [
            (f"organisations.{index}", "organisations", organisation)
            for index, organisation in enumerate(route.organisations)
        ]
        for path, kind, target in references:
            if target not in named[kind]:
                problems.append(
                    Problem(
                        ResultCode.DANGLING_REFERENCE,
                        f"Route/{name}.{path}",
                        f"there is no entry {target!r} among the {kind}",
                        f"add it to the {kind} or correct the name",
                    )
                )
    return problems


def _find_ambiguous_routes(result: CheckResult) -> list[Problem]:
    # Routes are ambiguous only if host, prefix and priority are equal; grouping by
    # these keeps the check linear in the number of routes.
    groups: dict[tuple[str, str, int], list[Any]] = {}
    for route in result.records["routes"].values():
        match = route.match
        groups.setdefault((match.host, match.path_prefix, route.priority), []).append(
            route
        )
    problems = []
    for routes in groups.values():
        route_by_model: dict[str, str] = {}
        for route in sorted(routes, key=lambda r: r.name):
            models = route.match.models or ("",)
            for other in sorted(
                {route_by_model[m] for m in models if m in route_by_model}
            ):
                problems.append(
                    Problem(
                        ResultCode.INVALID_VALUE,
                        f"Route/{route.name}.match",
                        f"the route matches the same requests as Route/{other}",
                        "change the priority or the match of one of them",
                    )
                )
            for model in models:
                route_by_model.setdefault(model, route.name)
    return problems


def _find_duplicate_runners(result: CheckResult) -> list[Problem]:
    problems = []
    owners: dict[str, str] = {}
    for pool_name, pool in result.records["pools"].items():
        for index, runner in enumerate(pool.runners):
            if runner.name in owners:
                owner = owners[runner.name]
                problems.append(_duplicate_runner(pool_name, index, runner.name, owner))
            owners.setdefault(runner.name, pool_name)
    return problems


def _duplicate_runner(pool: str, index: int, runner: str, owner: str) -> Problem:
    return Problem(
        ResultCode.DUPLICATE_NAME,
        f"Pool/{pool}.runners.{index}.name",
        f"the runner {runner!r} is also in Pool/{owner}",
        "runner names must be unique over all pools",
    )
