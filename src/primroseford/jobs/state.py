"""Batch jobs, their items and the committed results, with their stored encoding."""

from __future__ import annotations

import base64
import sys
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any
from typing import NewType

from primroseford.ids import JobId
from primroseford.ids import OrganisationId
from primroseford.platform.encoding import encoded_bytes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroseford.ids import SoftwareVersion

ItemId = NewType("ItemId", str)

MAX_ESCAPED_TEXT_BYTES = 600_000
"""Size of an encoded text above which it is stored in base64."""
ITEM_OVERHEAD_BYTES = 2048
"""Memory of an item, its state in a run and its result without their longest texts;
1,870 bytes were measured."""
MAX_CHARACTER_BYTES = 12
"""Largest size of an encoded character: two escapes of six bytes."""
ENCODED_BLOCK_CHARACTERS = 64 * 1024
"""Length of a block of an item's body in base64; a multiple of four, so that each block
can be decoded by itself."""
BASE64_COMPLETE = "complete:base64"
"""Stored state of a complete item whose text is in base64. Software that does not know
it fails to read the result instead of returning a wrong text."""


class ItemState(Enum):
    """Final state of an item."""

    COMPLETE = "complete"
    DEAD_LETTER = "dead_letter"


@dataclass(frozen=True)
class Item:
    """One request of a job.

    :param path: path of the request to a runner
    :param body: body in base64
    :param tokens: tokens that count against the organisation's limit
    """

    id: ItemId
    path: str
    headers: dict[str, str]
    body: str
    tokens: int

    def decoded_body(self) -> bytes:
        """Return the decoded body."""
        return base64.b64decode(self.body)

    @property
    def decoded_bytes(self) -> int:
        """Size of the decoded body."""
        return len(self.body) // 4 * 3 - self.body[-2:].count("=")

    def decoded_blocks(self) -> Iterator[bytes]:
        """Yield the decoded body in blocks, which need less memory than the whole."""
        for start in range(0, len(self.body), ENCODED_BLOCK_CHARACTERS):
            yield base64.b64decode(self.body[start : start + ENCODED_BLOCK_CHARACTERS])


@dataclass(frozen=True)
class ItemResult:
    """A committed result of an item.

    :param text: data of all events in order, separated by line feeds
    """

    id: ItemId
    state: ItemState
    text: str = ""


@dataclass(frozen=True)
class Progress:
    """Progress of an item without a result.

    :param data: data of the events received so far
    :param last_event: id of the last of these events
    :param failures: runs that ended with a failure reported by the runner itself
    :param version: software version of the runners that made these events; None if
        there are no events, or if they come from a host that does not tell
    """

    data: list[str]
    last_event: str | None
    failures: int
    version: SoftwareVersion | None = None


@dataclass(frozen=True)
class Job:
    """An accepted job.

    :param host: host name of its route, as in the submission
    :param prefix: path prefix of its route
    :param submitted: Unix time of its first arrival at the accepting host, in seconds
    """

    id: JobId
    organisation: OrganisationId | None
    host: str
    prefix: str
    submitted: float
    items: tuple[Item, ...]


@dataclass(frozen=True)
class JobReport:
    """What heartbeats report of a job to other hosts.

    :param segments: number of its result segments
    :param organisation: organisation that owns it; empty if requests need no keys
    :param prefix: path prefix of its route
    :param waiting_tokens: tokens of its items without a committed result
    :param stopped: whether the reporting host no longer runs it
    :param ended: whether every item has a committed result, or it is cancelled
    """

    segments: int
    organisation: str
    prefix: str
    waiting_tokens: int
    stopped: bool = False
    ended: bool = False


@dataclass
class JobView:
    """A host's local copy of a job; its results are append-only.

    :param results: first committed result of each item, in the order of the segments
    :param committed: items with a committed result
    :param segment_ends: number of results up to the end of each segment read so far
    :param complete_as_of: local time up to which the view holds all committed results
    :param cancelled: whether the caller cancelled the job
    :ivar items: ids of the job's items
    :ivar held_bytes: memory of the job and its results
    """

    job: Job
    results: list[ItemResult] = field(default_factory=list)
    committed: set[ItemId] = field(default_factory=set)
    segment_ends: list[int] = field(default_factory=list)
    complete_as_of: float = float("-inf")
    cancelled: bool = False
    items: frozenset[ItemId] = field(init=False)
    held_bytes: int = field(init=False, compare=False)

    def __post_init__(self) -> None:
        self.items = frozenset(item.id for item in self.job.items)
        results = sum(sys.getsizeof(result.text) for result in self.results)
        self.held_bytes = job_bytes(self.job) + results

    def append(self, results: list[ItemResult]) -> None:
        """Append the results of the next segment.

        Its writer has read all earlier segments, so it should repeat no item. A repeat
        is skipped, as is a result of an unknown item: all hosts read the segments in
        the same order, so positions are the same on each.
        """
        for result in results:
            if result.id in self.items and result.id not in self.committed:
                self.results.append(result)
                self.committed.add(result.id)
                self.held_bytes += sys.getsizeof(result.text)
        self.segment_ends.append(len(self.results))

    @property
    def segments(self) -> int:
        """Number of result segments read so far."""
        return len(self.segment_ends)

    @property
    def finished(self) -> bool:
        """Whether every item has a committed result."""
        return len(self.committed) == len(self.items)

    def waiting_tokens(self) -> int:
        """Return the tokens of the items without a committed result."""
        if self.cancelled:
            return 0
        return sum(i.tokens for i in self.job.items if i.id not in self.committed)

    @property
    def ended(self) -> bool:
        """Whether no item is to run any more."""
        return self.finished or self.cancelled

    def report(self, stopped: bool = False) -> JobReport:
        """Return what heartbeats report of the job.

        :param stopped: whether this host no longer runs it
        """
        return JobReport(
            self.segments,
            self.job.organisation or "",
            self.job.prefix,
            self.waiting_tokens(),
            stopped,
            self.ended,
        )


def job_bytes(job: Job) -> int:
    """Return the memory of a job with its items."""
    return sum(
        ITEM_OVERHEAD_BYTES
        + sys.getsizeof(item.body)
        + sys.getsizeof(item.path)
        + sum(
            sys.getsizeof(name) + sys.getsizeof(value)
            for name, value in item.headers.items()
        )
        for item in job.items
    )


def encode_job(job: Job) -> dict[str, Any]:
    """Encode a job for the store, without its items."""
    return {
        "organisation": job.organisation,
        "host": job.host,
        "prefix": job.prefix,
        "submitted": job.submitted,
    }


def decode_job(job: JobId, content: dict[str, Any], items: list[list]) -> Job:
    """Decode a stored job.

    :param items: the encoded items of all its parts
    """
    organisation = content["organisation"]
    return Job(
        job,
        None if organisation is None else OrganisationId(organisation),
        content["host"],
        content["prefix"],
        float(content["submitted"]),
        tuple(Item(ItemId(i[0]), *i[1:]) for i in items),
    )


def encode_item(item: Item) -> list:
    """Encode an item for the store."""
    return [item.id, item.path, item.headers, item.body, item.tokens]


def encode_result(result: ItemResult) -> list:
    """Encode a result for the store.

    Escaping can make a text six times as long. Above ``MAX_ESCAPED_TEXT_BYTES`` the
    text is stored in base64, which adds a third whatever its characters are.
    """
    if (
        len(result.text) * MAX_CHARACTER_BYTES > MAX_ESCAPED_TEXT_BYTES
        and encoded_bytes(result.text) > MAX_ESCAPED_TEXT_BYTES
    ):
        content = base64.b64encode(result.text.encode()).decode()
        return [result.id, BASE64_COMPLETE, content]
    return [result.id, result.state.value, result.text]


def decode_result(stored: list) -> ItemResult:
    """Decode a stored result."""
    item, state, text = stored
    if state == BASE64_COMPLETE:
        content = base64.b64decode(text).decode()
        return ItemResult(ItemId(item), ItemState.COMPLETE, content)
    return ItemResult(ItemId(item), ItemState(state), text)


def encode_progress(progress: dict[ItemId, Progress]) -> list[list]:
    """Encode the progress of items for the store and for other hosts.

    The software versions are encoded separately, since hosts of earlier releases fail
    to read longer lists.
    """
    return [
        [item, done.data, done.last_event, done.failures]
        for item, done in progress.items()
    ]


def encode_progress_versions(
    progress: dict[ItemId, Progress],
) -> dict[ItemId, SoftwareVersion]:
    """Encode the software versions that belong to encoded progress."""
    return {
        item: done.version
        for item, done in progress.items()
        if done.version is not None
    }


def decode_progress(stored: list[list], versions: Any = None) -> dict[ItemId, Progress]:
    """Decode the progress of items.

    :param versions: the encoded software versions; None from a host of an earlier
        release
    """
    known = versions if isinstance(versions, dict) else {}
    return {
        ItemId(item): Progress(
            data, last_event, failures, _decode_version(known.get(item))
        )
        for item, data, last_event, failures in stored
    }


def _decode_version(version: Any) -> SoftwareVersion | None:
    return version if isinstance(version, str) and version else None
