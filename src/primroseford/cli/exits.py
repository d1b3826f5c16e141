"""Exit codes of the command line; the help of each command lists them."""

from __future__ import annotations

from enum import IntEnum

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode


class Exit(IntEnum):
    """Exit codes.

    :cvar OK: 0, success; for ``diff``, no differences
    :cvar FAILED: 1, failed for a reason without its own exit code
    :cvar USAGE: 2, invalid arguments, or an address or key is missing
    :cvar INVALID: 3, the tables, settings or configuration are not valid
    :cvar CONFLICT: 4, a concurrent edit of another operator was written first
    :cvar UNAVAILABLE: 5, the platform's service or a host does not respond
    :cvar REFUSED: 6, the key is missing, withdrawn or not authorised
    :cvar NOT_FOUND: 7, the named object does not exist
    :cvar UNCONFIRMED: 8, written, but not in force on all hosts within the timeout, or
        the outcome of a write is not known
    :cvar DIFFERENT: 9, ``diff`` found differences
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    REFUSED = 6
    NOT_FOUND = 7
    UNCONFIRMED = 8
    DIFFERENT = 9


EXIT_BY_CODE = {
    ResultCode.VERSION_CONFLICT: Exit.CONFLICT,
    ResultCode.ALREADY_EXISTS: Exit.CONFLICT,
    ResultCode.PLATFORM_UNAVAILABLE: Exit.UNAVAILABLE,
    ResultCode.CALLS_LIMITED: Exit.UNAVAILABLE,
    ResultCode.PEER_UNREACHABLE: Exit.UNAVAILABLE,
    ResultCode.NOT_FOUND: Exit.NOT_FOUND,
}


EXIT_HELP = "Exit codes:\n" + "\n".join(
    f"  {line.strip().removeprefix(':cvar ')}"
    if line.strip().startswith(":cvar")
    else f"      {line.strip()}"
    for line in (Exit.__doc__ or "").splitlines()[2:]
    if line.strip()
)


def exit_for(error: PrimrosefordError) -> Exit:
    """Return the exit code that reports an error."""
    if error.code in EXIT_BY_CODE:
        return EXIT_BY_CODE[error.code]
    code_class = int(error.code) // 1000
    return {1: Exit.INVALID, 2: Exit.REFUSED}.get(code_class, Exit.FAILED)
