"""``check``: validate settings and tables offline."""

from __future__ import annotations

from cleo.helpers import argument

from primroseford.cli.base import BaseCommand
from primroseford.cli.base import CommandResult
from primroseford.cli.base import common_options
from primroseford.cli.exits import Exit
from primroseford.cli.files import read_files


class CheckCommand(BaseCommand):
    """Validates files without a connection to the platform."""

    name = "check"
    description = "Check settings and tables offline"
    arguments = [argument("paths", "files or folders", multiple=True)]
    options = common_options()

    async def handle_async(self) -> CommandResult:
        """Validate the files."""
        problems = read_files(self.argument("paths")).problems
        body = [
            {
                "code": int(p.code),
                "field": p.field,
                "message": p.message,
                "hint": p.hint,
            }
            for p in problems
        ]
        lines = [str(p) for p in problems] or ["no problems found"]
        return CommandResult(body, lines, Exit.INVALID if problems else Exit.OK)
