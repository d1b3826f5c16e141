"""Decisions about conditional writes whose answer was lost."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseford.ids import Version
    from primroseford.platform.objects import PlatformObject

MAX_ATTEMPTS = 4
"""Sends of one write: enough for three answers lost in a row."""
RETRY_BASE_SECONDS = 0.05
RETRY_MAX_SECONDS = 1.0


class WriteVerb(Enum):
    """Kinds of conditional writes."""

    CREATE = "POST"
    UPDATE = "PUT"
    DELETE = "DELETE"


class Verdict(Enum):
    """What reading the object back says about a write."""

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
    :param version: version that the write is conditional on, if it is
    """

    verb: WriteVerb
    kind: str
    name: str
    operation: str
    version: Version | None = None


def judge_read_back(write: Write, found: PlatformObject | None) -> Verdict:
    """Return what the object's current state says about a write.

    The object that a delete leaves has no operation id. An absent object therefore
    counts as deleted, whoever deleted it: a delete cannot serve as a claim.

    :param write: the write in doubt
    :param found: the object as read after the write, or nothing if absent
    """
    if write.verb is WriteVerb.DELETE:
        if found is None:
            return Verdict.DONE
        same = write.version in (None, found.version)
        return Verdict.RETRY if same else Verdict.CONFLICT
    if found is None:
        created = write.verb is WriteVerb.CREATE
        return Verdict.RETRY if created else Verdict.ABSENT
    if found.operation == write.operation:
        return Verdict.DONE
    if write.verb is WriteVerb.UPDATE and found.version == write.version:
        return Verdict.RETRY
    return Verdict.CONFLICT


def backoff_delay(
    attempt: int,
    fraction: float,
    base: float = RETRY_BASE_SECONDS,
    limit: float = RETRY_MAX_SECONDS,
) -> float:
    """Return the seconds to wait before a repeated attempt.

    :param attempt: number of failed attempts so far, from 1
    :param fraction: random number from 0 to 1, which spreads the hosts
    :param base: longest delay after the first failure, in seconds
    :param limit: longest delay, in seconds
    """
    longest = min(limit, base * 2 ** min(attempt - 1, 30))
    return longest * (0.5 + fraction / 2)
