"""``check``: validate settings, tables and the platform's configuration offline."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from cleo.helpers import argument
from cleo.helpers import option

from primroseford.cli.base import BaseCommand
from primroseford.cli.base import CommandResult
from primroseford.cli.base import common_options
from primroseford.cli.base import usage_error
from primroseford.cli.exits import Exit
from primroseford.cli.files import read_documents
from primroseford.cli.render import difference_body
from primroseford.cli.render import difference_lines
from primroseford.configuration.check import Problem
from primroseford.configuration.check import Severity
from primroseford.configuration.check import read_tables
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.platform.configuration_check import check_configuration
from primroseford.platform.configuration_check import is_configuration
from primroseford.platform.configuration_check import read_configuration
from primroseford.platform.configuration_difference import diff_configurations

if TYPE_CHECKING:
    from pathlib import Path


class CheckCommand(BaseCommand):
    """Validates files without a connection to the platform."""

    name = "check"
    description = "Check settings, tables and the platform's configuration offline"
    arguments = [argument("paths", "files or folders", multiple=True)]
    options = [
        option(
            "against",
            None,
            "file with the configuration in force; shows the difference to it",
            flag=False,
        ),
        *common_options(),
    ]

    async def handle_async(self) -> CommandResult:
        """Validate the files."""
        documents, problems = read_documents(self.argument("paths"))
        configurations, found = _read_configurations(documents)
        problems += found
        tables = [d for _, d in documents if not is_configuration(d)]
        problems += read_tables(tables).problems
        in_force = None
        if self.option("against"):
            count = len(documents) - len(tables)
            if count > 1 or not (count or problems):
                raise usage_error(
                    "--against needs exactly one configuration to check", "--against"
                )
            in_force, found = _read_in_force(self.option("against"))
            problems += found
        for path, configuration in configurations:
            problems += check_configuration(configuration, str(path), in_force)
        body: Any = [_problem_body(problem) for problem in problems]
        lines = [str(p) for p in problems] or ["no problems found"]
        if configurations and in_force is not None:
            differences = diff_configurations(in_force, configurations[0][1])
            bodies = [difference_body(difference) for difference in differences]
            body = {"problems": body, "differences": bodies}
            lines += [line for d in differences for line in difference_lines(d)]
            if not differences:
                lines.append("no differences")
        invalid = any(problem.severity is Severity.ERROR for problem in problems)
        return CommandResult(body, lines, Exit.INVALID if invalid else Exit.OK)


def _read_configurations(
    documents: list[tuple[Path, object]],
) -> tuple[list[tuple[Path, Any]], list[Problem]]:
    """Return the configurations among the documents with their files, and problems."""
    configurations, problems = [], []
    for path, document in documents:
        if not is_configuration(document):
            continue
        try:
            configurations.append((path, read_configuration(document)))
        except PrimrosefordError as error:
            problems.append(Problem(error.code, str(path), error.message))
    return configurations, problems


def _read_in_force(path: str) -> tuple[Any, list[Problem]]:
    """Return the configuration in force, or ``None`` and the problems of its file."""
    documents, problems = read_documents([path])
    configurations, found = _read_configurations(documents)
    problems += found
    if len(configurations) == 1 and not problems:
        return configurations[0][1], []
    text = "the file is not one document with the configuration in force"
    return None, problems or [Problem(ResultCode.MALFORMED, path, text)]


def _problem_body(problem: Problem) -> dict[str, Any]:
    return {
        "severity": problem.severity.value,
        "code": int(problem.code),
        "field": problem.field,
        "message": problem.message,
        "hint": problem.hint,
    }
