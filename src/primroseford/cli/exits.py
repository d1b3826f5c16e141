"""Exit codes of the command line, documented in ``primroseford help``."""

from __future__ import annotations

from enum import IntEnum

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode


class Exit(IntEnum):
    """Exit codes.

    :cvar OK: done, and nothing differs for ``diff``
    :cvar FAILED: failed for a reason without its own code
    :cvar USAGE: wrong arguments, or an address or key is missing
    :cvar INVALID: the tables or settings have problems
    :cvar CONFLICT: another operator's edit came first
    :cvar UNAVAILABLE: the platform's service or a host does not answer
    :cvar REFUSED: the key is missing, withdrawn or not authorised
    :cvar NOT_FOUND: the named object does not exist
    :cvar UNCONFIRMED: written, but not in force everywhere in time, or the outcome
        of a write is not known
    :cvar DIFFERENT: ``diff`` found differences
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


BY_CODE = {
    ResultCode.VERSION_CONFLICT: Exit.CONFLICT,
    ResultCode.ALREADY_EXISTS: Exit.CONFLICT,
    ResultCode.PLATFORM_UNAVAILABLE: Exit.UNAVAILABLE,
    ResultCode.CALLS_LIMITED: Exit.UNAVAILABLE,
    ResultCode.PEER_UNREACHABLE: Exit.UNAVAILABLE,
    ResultCode.NOT_FOUND: Exit.NOT_FOUND,
}


def exit_for(error: PrimrosefordError) -> Exit:
    """Return the exit code that reports an error."""
    if error.code in BY_CODE:
        return BY_CODE[error.code]
    section = int(error.code) // 1000
    return {1: Exit.INVALID, 2: Exit.REFUSED}.get(section, Exit.FAILED)
