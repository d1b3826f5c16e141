"""``diff``: what ``apply`` would write."""

from __future__ import annotations

from cleo.helpers import argument
from cleo.helpers import option

from primroseford.cli.base import Answer
from primroseford.cli.base import BaseCommand
from primroseford.cli.base import common_options
from primroseford.cli.exits import Exit
from primroseford.cli.files import valid_tables
from primroseford.cli.render import step_body
from primroseford.cli.render import step_lines
from primroseford.configuration.apply import plan_changes
from primroseford.configuration.apply import read_platform


class DiffCommand(BaseCommand):
    """Compares files with the platform."""

    name = "diff"
    description = "Show the difference between files and the platform"
    arguments = [argument("paths", "files or folders", multiple=True)]
    options = [
        option("prune", None, "show what the files do not name as deleted"),
        *common_options(),
    ]

    async def work(self) -> Answer:
        """Compare."""
        checked = valid_tables(self.argument("paths"))
        async with self.platform() as client:
            current = await read_platform(client)
            steps = plan_changes(checked, current, self.option("prune"))
        lines = [line for step in steps for line in step_lines(step)]
        return Answer(
            [step_body(step) for step in steps],
            lines or ["no differences"],
            Exit.DIFFERENT if steps else Exit.OK,
        )
