"""``check``: settings and tables, offline."""

from __future__ import annotations

from cleo.helpers import argument

from primroseford.cli.base import Answer
from primroseford.cli.base import BaseCommand
from primroseford.cli.base import common_options
from primroseford.cli.exits import Exit
from primroseford.cli.files import read_files


class CheckCommand(BaseCommand):
    """Checks files without a connection."""

    name = "check"
    description = "Check settings and tables offline"
    arguments = [argument("paths", "files or folders", multiple=True)]
    options = common_options()

    async def work(self) -> Answer:
        """Check the files."""
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
        return Answer(body, lines, Exit.INVALID if problems else Exit.OK)
