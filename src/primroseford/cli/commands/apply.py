"""``apply``: write tables to the platform."""

from __future__ import annotations

import asyncio

from cleo.helpers import argument
from cleo.helpers import option

from primroseford.cli.base import Answer
from primroseford.cli.base import BaseCommand
from primroseford.cli.base import common_options
from primroseford.cli.exits import Exit
from primroseford.cli.files import valid_tables
from primroseford.cli.fleet import read_versions
from primroseford.cli.render import outcome_body
from primroseford.cli.render import outcome_lines
from primroseford.cli.render import step_body
from primroseford.cli.render import step_lines
from primroseford.clock import boottime
from primroseford.configuration.apply import StepResult
from primroseford.configuration.apply import apply_plan
from primroseford.configuration.apply import plan_changes
from primroseford.configuration.apply import read_platform
from primroseford.configuration.apply import wait_until_in_force

WAIT_SECONDS = 30.0

EXITS = {
    StepResult.LOST_RACE: Exit.CONFLICT,
    StepResult.UNKNOWN: Exit.UNCONFIRMED,
}


class ApplyCommand(BaseCommand):
    """Writes the differences between files and the platform."""

    name = "apply"
    description = "Write tables to the platform"
    arguments = [argument("paths", "files or folders", multiple=True)]
    options = [
        option("dry-run", None, "show the writes without making them"),
        option("prune", None, "delete what the files do not name"),
        option("wait", None, "wait until all hosts have the edit in force"),
        *common_options(),
    ]

    async def work(self) -> Answer:
        """Plan, write and wait."""
        checked = valid_tables(self.argument("paths"))
        if self.option("wait"):
            self.setting("host")
        async with self.platform() as client:
            current = await read_platform(client)
            steps = plan_changes(checked, current, self.option("prune"))
            if self.option("dry-run"):
                lines = [line for step in steps for line in step_lines(step)]
                return Answer([step_body(s) for s in steps], lines or ["no changes"])
            outcomes = await apply_plan(client, steps, current)
            version = (await client.list("routes")).version
        lines = [line for outcome in outcomes for line in outcome_lines(outcome)]
        body = [outcome_body(outcome) for outcome in outcomes]
        for outcome in outcomes:
            if outcome.result in EXITS:
                return Answer(body, lines, EXITS[outcome.result])
        if not self.option("wait"):
            return Answer(body, lines or ["no changes"])
        url = self.setting("host")
        late = await wait_until_in_force(
            version, lambda: read_versions(url), boottime, asyncio.sleep, WAIT_SECONDS
        )
        if late:
            lines.append("not confirmed by: " + ", ".join(late))
            return Answer(body, lines, Exit.UNCONFIRMED)
        return Answer(body, [*lines, f"version {version} is in force on all hosts"])
