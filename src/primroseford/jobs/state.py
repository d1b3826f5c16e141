"""Batch jobs, their items and the results that were listed."""

from __future__ import annotations

import base64
from dataclasses import astuple
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Any
from typing import NewType

from primroseford.ids import JobId
from primroseford.ids import OrganisationId

ItemId = NewType("ItemId", str)


class ItemState(Enum):
    """How an item ended."""

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
        """Return the body as bytes."""
        return base64.b64decode(self.body)


@dataclass(frozen=True)
class ItemResult:
    """A listed result.

    :param text: data of all events in order, separated by line feeds
    """

    id: ItemId
    state: ItemState
    text: str = ""


@dataclass(frozen=True)
class Progress:
    """How far an item is that has no result yet.

    :param data: data of the events so far
    :param last_event: id of the last of them
    :param failures: runs that ended with a runner's own failure
    """

    data: list[str]
    last_event: str | None
    failures: int


@dataclass(frozen=True)
class Job:
    """An accepted job.

    :param host: host name of its route, as the submission gave it
    :param prefix: path prefix of its route
    :param submitted: Unix time of its first arrival at the accepting host in seconds
    """

    id: JobId
    organisation: OrganisationId | None
    host: str
    prefix: str
    submitted: float
    items: tuple[Item, ...]


@dataclass(frozen=True)
class JobReport:
    """What a host tells the others of a job that it runs.

    :param segments: number of its result segments
    :param organisation: whose it is; empty if requests need no keys
    :param prefix: path prefix of its route
    :param waiting_tokens: tokens of its items that are not listed
    """

    segments: int
    organisation: str
    prefix: str
    waiting_tokens: int


@dataclass
class JobView:
    """What a host knows of a job; results are only ever added.

    :param ends: number of results up to the end of each segment that was read
    :param checked_at: local time up to which nobody had listed more than is here
    :param ended: whether the caller ended the job
    """

    job: Job
    results: list[ItemResult] = field(default_factory=list)
    listed: set[ItemId] = field(default_factory=set)
    ends: list[int] = field(default_factory=list)
    checked_at: float = float("-inf")
    ended: bool = False

    def append(self, results: list[ItemResult]) -> None:
        """Add the results of the next segment.

        A segment never repeats an item: its writer had read all segments before it.
        """
        self.results.extend(results)
        self.listed.update(result.id for result in results)
        self.ends.append(len(self.results))

    @property
    def segments(self) -> int:
        """Number of result segments that were read."""
        return len(self.ends)

    @property
    def finished(self) -> bool:
        """Whether every item is listed."""
        return len(self.results) >= len(self.job.items)

    def waiting_tokens(self) -> int:
        """Return the tokens of the items that are not listed."""
        if self.ended:
            return 0
        return sum(i.tokens for i in self.job.items if i.id not in self.listed)

    def told(self) -> JobReport:
        """Return what the heartbeats tell of the job."""
        organisation = self.job.organisation or ""
        waiting = self.waiting_tokens()
        return JobReport(self.segments, organisation, self.job.prefix, waiting)


def encode_job(job: Job) -> dict[str, Any]:
    """Return a job as stored, without its items."""
    return {
        "organisation": job.organisation,
        "host": job.host,
        "prefix": job.prefix,
        "submitted": job.submitted,
    }


def decode_job(job: JobId, content: dict[str, Any], items: list[list]) -> Job:
    """Return a stored job.

    :param items: the stored items of all its parts
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
    """Return an item as stored."""
    return [item.id, item.path, item.headers, item.body, item.tokens]


def encode_result(result: ItemResult) -> list:
    """Return a result as stored."""
    return [result.id, result.state.value, result.text]


def decode_result(stored: list) -> ItemResult:
    """Return a stored result."""
    return ItemResult(ItemId(stored[0]), ItemState(stored[1]), stored[2])


def encode_progress(progress: dict[ItemId, Progress]) -> list[list]:
    """Return the progress of items as stored and as sent between hosts."""
    return [[item, *astuple(done)] for item, done in progress.items()]


def decode_progress(stored: list[list]) -> dict[ItemId, Progress]:
    """Return the stored progress of items."""
    return {ItemId(item[0]): Progress(*item[1:]) for item in stored}
