"""``explain``: why a request or a batch item ended as it did, from logs."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from cleo.helpers import argument

from primroseford.cli.base import Answer
from primroseford.cli.base import BaseCommand
from primroseford.cli.base import common_options
from primroseford.cli.exits import Exit
from primroseford.gateway.explain import explain
from primroseford.gateway.explain import parse_line

if TYPE_CHECKING:
    from primroseford.gateway.explain import LogLine


class ExplainCommand(BaseCommand):
    """Reads the logs of all hosts and prints what concerns one id."""

    name = "explain"
    description = "Show from logs why a request, an item or a job ended as it did"
    arguments = [
        argument("id", "id of a request, an item or a job"),
        argument("logs", "log files, one or more hosts in each", multiple=True),
    ]
    options = common_options()

    async def work(self) -> Answer:
        """Read the logs."""
        lines = read_logs(self.argument("logs"))
        found = explain(lines, self.argument("id"))
        body = [{"at": f.at, "host": f.host, **f.fields} for f in found]
        if not found:
            return Answer(body, ["no line names this id"], Exit.NOT_FOUND)
        return Answer(body, [line.text for line in found])


def read_logs(names: list[str]) -> list[LogLine]:
    """Return the lines of log files; a line without a host gets the file's name."""
    lines = []
    for path in map(Path, names):
        for text in path.read_text(errors="replace").splitlines():
            line = parse_line(text, path.stem)
            if line is not None:
                lines.append(line)
    return lines
