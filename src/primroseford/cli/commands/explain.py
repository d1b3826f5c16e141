"""``explain``: show the log lines of a request, a batch item or a job."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from cleo.helpers import argument

from primroseford.cli.base import BaseCommand
from primroseford.cli.base import CommandResult
from primroseford.cli.base import common_options
from primroseford.cli.exits import Exit
from primroseford.gateway.explain import explain
from primroseford.gateway.explain import parse_line

if TYPE_CHECKING:
    from primroseford.gateway.explain import LogLine


class ExplainCommand(BaseCommand):
    """Prints the lines of the hosts' logs that concern one id."""

    name = "explain"
    description = "Explain the outcome of a request, an item or a job from logs"
    arguments = [
        argument("id", "id of a request, an item or a job"),
        argument("logs", "log files; each may hold several hosts", multiple=True),
    ]
    options = common_options()

    async def handle_async(self) -> CommandResult:
        """Read the logs and select the lines of the id."""
        lines = read_logs(self.argument("logs"))
        matching_lines = explain(lines, self.argument("id"))
        body = [{"at": f.at, "host": f.host, **f.fields} for f in matching_lines]
        if not matching_lines:
            return CommandResult(body, ["no line contains this id"], Exit.NOT_FOUND)
        return CommandResult(body, [line.text for line in matching_lines])


def read_logs(names: list[str]) -> list[LogLine]:
    """Read log files; the file's name is the host of a line that names none."""
    lines = []
    for path in map(Path, names):
        for text in path.read_text(errors="replace").splitlines():
            line = parse_line(text, path.stem)
            if line is not None:
                lines.append(line)
    return lines
