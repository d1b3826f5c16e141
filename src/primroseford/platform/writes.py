"""Decisions about conditional writes whose response was lost."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseford.ids import Version
    from primroseford.platform.objects import PlatformObject

MAX_ATTEMPTS = 4
"""Attempts of one write; they tolerate three lost responses in a row."""
RETRY_BASE_SECONDS = 0.05
RETRY_MAX_SECONDS = 1.0


class WriteVerb(Enum):
    """Kinds of conditional writes."""

    CREATE = "POST"
    UPDATE = "PUT"
    DELETE = "DELETE"


class ReadBackResult(Enum):
    """Conclusion about a write from reading its object back."""

    DONE = "done"
    CONFLICT = "conflict"
    RETRY = "retry"
    ABSENT = "absent"


@dataclass(frozen=True)
class Write:
    """One conditional write.

    :param verb: kind of the write
    :param kind: kind of the object
    :param name: name of the object
    :param operation: unique id of this write
    :param version: version that the write is conditional on; none if unconditional
    """

    verb: WriteVerb
    kind: str
    name: str
    operation: str
    version: Version | None = None


def evaluate_read_back(write: Write, found: PlatformObject | None) -> ReadBackResult:
    """Return what the object's current state shows about a write.

    A deleted object has no operation id, so an absent object counts as deleted by this
    write, whoever deleted it. A delete therefore cannot be used to claim something.

    :param write: write whose outcome is unknown
    :param found: the object as read after the write; none if it is absent
    """
    if write.verb is WriteVerb.DELETE:
        if found is None:
            return ReadBackResult.DONE
        same = write.version in (None, found.version)
        return ReadBackResult.RETRY if same else ReadBackResult.CONFLICT
    if found is None:
        created = write.verb is WriteVerb.CREATE
        return ReadBackResult.RETRY if created else ReadBackResult.ABSENT
    if found.operation == write.operation:
        return ReadBackResult.DONE
    if write.verb is WriteVerb.UPDATE and found.version == write.version:
        return ReadBackResult.RETRY
    return ReadBackResult.CONFLICT


def backoff_delay(
    attempt: int,
    fraction: float,
    base: float = RETRY_BASE_SECONDS,
    limit: float = RETRY_MAX_SECONDS,
) -> float:
    """Return the seconds to wait before a retry: exponential backoff with jitter.

    :param attempt: number of failed attempts so far, from 1
    :param fraction: random number from 0 to 1 for the jitter
    :param base: longest delay after the first failure, in seconds
    :param limit: longest delay of all, in seconds
    """
    longest = min(limit, base * 2 ** min(attempt - 1, 30))
    return longest * (0.5 + fraction / 2)
