"""What all commands share: options, output and errors."""

from __future__ import annotations

import asyncio
import json
import os
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
from cleo.commands.command import Command
from cleo.helpers import option

from primroseford.cli.exits import EXIT_HELP
from primroseford.cli.exits import Exit
from primroseford.cli.exits import exit_for
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.platform.client import create_platform_client

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from cleo.io.inputs.option import Option

    from primroseford.platform.client import PlatformClient

CALL_TIMEOUT_SECONDS = 30.0


@dataclass(frozen=True)
class Answer:
    """What a command reports.

    :param body: for ``--format json``
    :param lines: for ``--format text``
    """

    body: Any
    lines: list[str]
    exit: Exit = Exit.OK


def common_options() -> list[Option]:
    """Return the options that every command takes."""
    return [
        option("platform", None, "URL of the platform's service", flag=False),
        option("host", None, "URL of a host's operator address", flag=False),
        option("api", None, "URL of a host for callers", flag=False),
        option("key", None, "caller's key", flag=False),
        option("format", None, "text or json", flag=False, default="text"),
    ]


class BaseCommand(Command):
    """Runs ``work`` and reports its answer or its error."""

    help = EXIT_HELP

    async def work(self) -> Answer:
        """Do what the command is for."""
        raise NotImplementedError

    def handle(self) -> int:
        """Run the command.

        :returns: exit code
        """
        try:
            if self.option("format") not in ("text", "json"):
                raise usage_error("the format is neither text nor json", "--format")
            answer = asyncio.run(self.work())
        except PrimrosefordError as error:
            return self.report(error)
        except (OSError, aiohttp.ClientError, TimeoutError) as error:
            # Files that cannot be written, or a connection cut during a transfer.
            text = str(error) or type(error).__name__
            failed = PrimrosefordError(ResultCode.INTERNAL, f"it failed: {text}")
            return self.report(failed)
        if self.option("format") == "json":
            self.write_plain(json.dumps(answer.body, indent=1, sort_keys=True))
        else:
            for line in answer.lines:
                self.write_plain(line)
        return int(answer.exit)

    def report(self, error: PrimrosefordError) -> int:
        """Write an error as a plain sentence and a hint."""
        if self.option("format") == "json":
            body = {
                "code": int(error.code),
                "message": error.message,
                "field": error.field,
                "hint": error.hint,
            }
            self.write_plain(json.dumps({"error": body}), to_error=True)
        else:
            self.write_plain(f"Error {int(error.code)}: {error.message}", to_error=True)
            if error.hint:
                self.write_plain(f"Hint: {error.hint}", to_error=True)
        usage = error.code is ResultCode.MISSING_FIELD and error.field or ""
        return int(Exit.USAGE if usage.startswith("--") else exit_for(error))

    def write_plain(self, text: str, to_error: bool = False) -> None:
        """Write a line as it is; names could look like cleo's formatting."""
        output = self.io.error_output if to_error else self.io.output
        output.write(text.replace("<", "\\<"), new_line=True)

    def setting(self, name: str) -> str:
        """Return an option or its environment variable.

        :raises PrimrosefordError: MISSING_FIELD
        """
        variable = f"PRIMROSEFORD_{name.upper()}"
        found = self.option(name) or os.environ.get(variable)
        if not found:
            raise usage_error(
                f"the option --{name} is missing",
                f"--{name}",
                f"pass --{name} or set {variable}",
            )
        return str(found).rstrip("/")

    @asynccontextmanager
    async def platform(self) -> AsyncIterator[PlatformClient]:
        """Yield a client of the platform's service."""
        url = self.setting("platform")
        async with aiohttp.ClientSession() as session:
            yield create_platform_client(url, session)


def usage_error(message: str, name: str, hint: str | None = None) -> PrimrosefordError:
    """Return the error for a missing or wrong option.

    :param name: name of the option with its dashes
    """
    return PrimrosefordError(ResultCode.MISSING_FIELD, message, field=name, hint=hint)


async def fetch_json(url: str, headers: dict[str, str] | None = None) -> Any:
    """Return the JSON at a URL of a host.

    :raises PrimrosefordError: PEER_UNREACHABLE, or MALFORMED
    """
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url, headers=headers) as answer,
        ):
            if answer.status != 200:
                raise PrimrosefordError(
                    ResultCode.PEER_UNREACHABLE, f"{url} answered {answer.status}"
                )
            return await answer.json(content_type=None)
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        raise PrimrosefordError(
            ResultCode.PEER_UNREACHABLE,
            f"{url} did not answer",
            hint="check the address and whether the host runs",
        ) from error
