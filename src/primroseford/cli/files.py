"""Reads and validates table and settings files."""

from __future__ import annotations

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
    documents: list[object] = []
    problems: list[Problem] = []
    for path in expand_paths(paths):
        try:
            if path.stat().st_size > MAX_FILE_BYTES:
                raise ValueError(f"larger than {MAX_FILE_BYTES} bytes")
            content = list(yaml.safe_load_all(path.read_bytes()))
        except (OSError, ValueError, yaml.YAMLError) as error:
            text = " ".join(str(error).split())
            problems.append(Problem(ResultCode.MALFORMED, str(path), text))
            continue
        for document in content:
            if isinstance(document, dict) and is_settings(document):
                problems += _settings_problems(path, document)
            elif document is not None:
                documents.append(document)
    checked = read_tables(documents)
    checked.problems[:0] = problems
    return checked


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
