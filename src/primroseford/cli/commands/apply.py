"""``apply``: write tables to the platform."""

from __future__ import annotations

import asyncio

from cleo.helpers import argument
from cleo.helpers import option

from primroseford.cli.base import BaseCommand
from primroseford.cli.base import CommandResult
from primroseford.cli.base import common_options
from primroseford.cli.exits import Exit
from primroseford.cli.files import read_valid_tables
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

EXIT_BY_RESULT = {
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
        option("prune", None, "delete objects that the files do not contain"),
        option("wait", None, "wait until the edit is in force on all hosts"),
        *common_options(),
    ]

    async def handle_async(self) -> CommandResult:
        """Plan and apply the writes, and wait until they are in force."""
        checked = read_valid_tables(self.argument("paths"))
        if self.option("wait"):
            self.required_option("host")
        async with self.platform() as client:
            current = await read_platform(client)
            steps = plan_changes(checked, current, self.option("prune"))
            if self.option("dry-run"):
                lines = [line for step in steps for line in step_lines(step)]
                return CommandResult(
                    [step_body(s) for s in steps], lines or ["no changes"]
                )
            outcomes = await apply_plan(client, steps, current)
            version = (await client.list("routes")).version
        lines = [line for outcome in outcomes for line in outcome_lines(outcome)]
        body = [outcome_body(outcome) for outcome in outcomes]
        for outcome in outcomes:
            if outcome.result in EXIT_BY_RESULT:
                return CommandResult(body, lines, EXIT_BY_RESULT[outcome.result])
        if not self.option("wait"):
            return CommandResult(body, lines or ["no changes"])
        url = self.required_option("host")
        late_hosts = await wait_until_in_force(
            version, lambda: read_versions(url), boottime, asyncio.sleep, WAIT_SECONDS
        )
        if late_hosts:
            lines.append("not confirmed by: " + ", ".join(late_hosts))
            return CommandResult(body, lines, Exit.UNCONFIRMED)
        return CommandResult(
            body, [*lines, f"version {version} is in force on all hosts"]
        )
