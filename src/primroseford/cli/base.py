"""Base class of all commands: options, output and error reporting."""

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
class CommandResult:
    """Output and exit code of a command.

    :param body: output with ``--format json``
    :param lines: output with ``--format text``
    """

    body: Any
    lines: list[str]
    exit: Exit = Exit.OK


def common_options() -> list[Option]:
    """Return the options that all commands accept."""
    return [
        option("platform", None, "URL of the platform's service", flag=False),
        option("host", None, "URL of a host's operator address", flag=False),
        option("api", None, "URL of a host for callers", flag=False),
        option("key", None, "caller's key", flag=False),
        option("format", None, "text or json", flag=False, default="text"),
    ]


class BaseCommand(Command):
    """Runs ``handle_async`` and prints its result or its error."""

    help = EXIT_HELP

    async def handle_async(self) -> CommandResult:
        """Run the command within an event loop."""
        raise NotImplementedError

    def handle(self) -> int:
        """Run the command.

        :returns: exit code
        """
        try:
            if self.option("format") not in ("text", "json"):
                raise usage_error("--format must be text or json", "--format")
            result = asyncio.run(self.handle_async())
        except PrimrosefordError as error:
            return self.report_error(error)
        except (OSError, aiohttp.ClientError, TimeoutError) as error:
            # A file cannot be written, or a connection broke during a transfer.
            text = str(error) or type(error).__name__
            failed = PrimrosefordError(
                ResultCode.INTERNAL, f"the command failed: {text}"
            )
            return self.report_error(failed)
        if self.option("format") == "json":
            self.write_plain(json.dumps(result.body, indent=1, sort_keys=True))
        else:
            for line in result.lines:
                self.write_plain(line)
        return int(result.exit)

    def report_error(self, error: PrimrosefordError) -> int:
        """Print an error with its hint.

        :returns: exit code
        """
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
        """Print a line without cleo's markup, which a name could contain.

        Halves of surrogate pairs, which JSON and file names can have, are escaped.
        """
        output = self.io.error_output if to_error else self.io.output
        text = text.encode("utf-8", "backslashreplace").decode()
        output.write(text.replace("<", "\\<"), new_line=True)

    def required_option(self, name: str) -> str:
        """Return the value of an option or of its environment variable.

        :raises PrimrosefordError: MISSING_FIELD if neither is set
        """
        variable = f"PRIMROSEFORD_{name.upper()}"
        option_value = self.option(name) or os.environ.get(variable)
        if not option_value:
            raise usage_error(
                f"the option --{name} is missing",
                f"--{name}",
                f"pass --{name} or set {variable}",
            )
        return str(option_value).rstrip("/")

    @asynccontextmanager
    async def platform(self) -> AsyncIterator[PlatformClient]:
        """Yield a client of the platform's service."""
        url = self.required_option("platform")
        async with aiohttp.ClientSession() as session:
            yield create_platform_client(url, session)


def usage_error(message: str, name: str, hint: str | None = None) -> PrimrosefordError:
    """Return the error for a missing or invalid option.

    :param name: name of the option, with its dashes
    """
    return PrimrosefordError(ResultCode.MISSING_FIELD, message, field=name, hint=hint)


async def fetch_json(url: str, headers: dict[str, str] | None = None) -> Any:
    """Fetch a JSON document from a host.

    :raises PrimrosefordError: PEER_UNREACHABLE, also if the response is not JSON
    """
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url, headers=headers) as response,
        ):
            if response.status != 200:
                raise PrimrosefordError(
                    ResultCode.PEER_UNREACHABLE, f"{url} answered {response.status}"
                )
            return await response.json(content_type=None)
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        raise PrimrosefordError(
            ResultCode.PEER_UNREACHABLE,
            f"{url} did not answer",
            hint="check the address, and that the host is running",
        ) from error
