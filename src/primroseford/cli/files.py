"""Reads and validates table and settings files."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING

import yaml

from primroseford.configuration.check import Problem
from primroseford.configuration.check import read_tables
from primroseford.daemon.settings import SettingsError
from primroseford.daemon.settings import check_settings
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primroseford.configuration.check import CheckResult

MAX_FILE_BYTES = 64 * 1024 * 1024
PARSER_ERRORS = (
    OSError,
    yaml.YAMLError,
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""Exceptions of reading and parsing. PyYAML raises ``IndexError``, ``KeyError`` or
``AttributeError`` for an invalid text with an explicit tag, such as ``!!int ""``."""


def expand_paths(paths: Sequence[str]) -> list[Path]:
    """Return the given files, and the YAML files within the given folders."""
    files: list[Path] = []
    for text in paths:
        path = Path(text)
        yaml_files = sorted([*path.rglob("*.yaml"), *path.rglob("*.yml")])
        files += yaml_files if path.is_dir() else [path]
    return files


def read_files(paths: Sequence[str]) -> CheckResult:
    """Read and validate table and settings files together.

    A document without ``kind`` that has the field ``peer_listen`` is a settings file.

    :param paths: files and folders
    """
    documents, problems = read_documents(paths)
    checked = read_tables([document for _, document in documents])
    checked.problems[:0] = problems
    return checked


def read_documents(
    paths: Sequence[str],
) -> tuple[list[tuple[Path, object]], list[Problem]]:
    """Read files, of which settings files are validated here.

    :param paths: files and folders
    :returns: the other documents with their files, and problems
    """
    documents: list[tuple[Path, object]] = []
    problems: list[Problem] = []
    for path in expand_paths(paths):
        try:
            with path.open("rb") as file:
                content = _parse(file.read(MAX_FILE_BYTES + 1))
        except PARSER_ERRORS as error:
            text = _describe(error)
            problems.append(Problem(ResultCode.MALFORMED, str(path), text))
            continue
        for document in content:
            if isinstance(document, dict) and is_settings(document):
                problems += _settings_problems(path, document)
            elif document is not None:
                documents.append((path, document))
    return documents, problems


def _parse(content: bytes) -> list[object]:
    if len(content) > MAX_FILE_BYTES:
        raise ValueError(f"larger than {MAX_FILE_BYTES} bytes")
    if content.lstrip()[:1] == b"{":
        # YAML accepts most of JSON, but no tabs between values.
        try:
            return [json.loads(content)]
        except (ValueError, RecursionError):
            pass
    return list(yaml.safe_load_all(content))


def _describe(error: Exception) -> str:
    """Return an error's text without an excerpt of the file, which may hold keys."""
    if isinstance(error, yaml.MarkedYAMLError) and error.problem_mark:
        mark = error.problem_mark
        text = error.problem or error.context
        return f"{text} in line {mark.line + 1}, column {mark.column + 1}"
    if isinstance(error, RecursionError):
        return "nested too deeply"
    return " ".join(str(error).split()) or type(error).__name__


def is_settings(document: dict) -> bool:
    """Return whether a document is a settings file of a host."""
    return "kind" not in document and "peer_listen" in document


def read_valid_tables(paths: Sequence[str]) -> CheckResult:
    """Read tables that must be valid.

    :raises PrimrosefordError: INVALID_VALUE with all problems
    """
    checked = read_files(paths)
    if checked.problems:
        text = "\n".join(f"  {problem}" for problem in checked.problems)
        raise PrimrosefordError(
            ResultCode.INVALID_VALUE,
            f"the tables are not valid:\n{text}",
            hint="correct the files; nothing was written",
        )
    return checked


def _settings_problems(path: Path, document: object) -> list[Problem]:
    try:
        check_settings(document)
    except SettingsError as error:
        return [
            Problem(ResultCode.INVALID_VALUE, str(path), text)
            for text in error.problems
        ]
    return []
