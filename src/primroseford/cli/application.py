"""Entry point of the command line: ``primroseford``."""

from __future__ import annotations

import sys

from cleo.application import Application
from cleo.io.inputs.argv_input import ArgvInput

from primroseford import __version__
from primroseford.cli.commands.apply import ApplyCommand
from primroseford.cli.commands.check import CheckCommand
from primroseford.cli.commands.diff import DiffCommand
from primroseford.cli.commands.explain import ExplainCommand
from primroseford.cli.commands.get import GetCommand
from primroseford.cli.commands.job_cancel import JobCancelCommand
from primroseford.cli.commands.job_results import JobResultsCommand
from primroseford.cli.commands.job_status import JobStatusCommand
from primroseford.cli.commands.job_submit import JobSubmitCommand
from primroseford.cli.commands.key_create import KeyCreateCommand
from primroseford.cli.commands.key_list import KeyListCommand
from primroseford.cli.commands.key_withdraw import KeyWithdrawCommand
from primroseford.cli.commands.quarantine_lift import QuarantineLiftCommand
from primroseford.cli.commands.quarantine_list import QuarantineListCommand
from primroseford.cli.commands.runner_drain import RunnerDrainCommand
from primroseford.cli.commands.runner_order import RunnerOrderCommand
from primroseford.cli.commands.status import StatusCommand
from primroseford.cli.commands.top import TopCommand

COMMANDS = (
    ApplyCommand,
    CheckCommand,
    DiffCommand,
    ExplainCommand,
    GetCommand,
    JobCancelCommand,
    JobResultsCommand,
    JobStatusCommand,
    JobSubmitCommand,
    KeyCreateCommand,
    KeyListCommand,
    KeyWithdrawCommand,
    QuarantineLiftCommand,
    QuarantineListCommand,
    RunnerDrainCommand,
    RunnerOrderCommand,
    StatusCommand,
    TopCommand,
)


def create_application() -> Application:
    """Return the application with all commands."""
    application = Application("primroseford", __version__)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Run the command line.

    :returns: exit code, see ``primroseford.cli.exits``
    """
    arguments = sys.argv[1:]
    if arguments in (["--help"], ["-h"], ["help"]):
        # By default, cleo shows the help of its list command instead of all commands.
        arguments = ["list"]
    return create_application().run(ArgvInput([sys.argv[0], *arguments]))


if __name__ == "__main__":
    sys.exit(main())
