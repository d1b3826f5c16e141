"""``diff``: what ``apply`` would write."""

from __future__ import annotations

from cleo.helpers import argument

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
    options = common_options()

    async def work(self) -> Answer:
        """Compare."""
        checked = valid_tables(self.argument("paths"))
        async with self.platform() as client:
            steps = plan_changes(checked, await read_platform(client))
        lines = [line for step in steps for line in step_lines(step)]
        return Answer(
            [step_body(step) for step in steps],
            lines or ["no differences"],
            Exit.DIFFERENT if steps else Exit.OK,
        )
