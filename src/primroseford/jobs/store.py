"""Jobs in the platform's store: definitions, committed results and cancellations.

Creating a job's object accepts the job, so repeated submissions are idempotent. Results
are appended in segments, each created under the next number: of two hosts that run the
same job only one can create a number, and the other must read that segment before it
appends. Segments are immutable, so result positions are the same on every host.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import JobId
from primroseford.jobs.state import Job
from primroseford.jobs.state import JobView
from primroseford.jobs.state import decode_job
from primroseford.jobs.state import decode_progress
from primroseford.jobs.state import decode_result
from primroseford.jobs.state import encode_item
from primroseford.jobs.state import encode_job
from primroseford.jobs.state import encode_progress
from primroseford.jobs.state import encode_progress_versions
from primroseford.jobs.state import encode_result
from primroseford.platform.encoding import encode_json
from primroseford.platform.encoding import encoded_bytes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroseford.clock import Clock
    from primroseford.ids import Version
    from primroseford.jobs.state import ItemId
    from primroseford.jobs.state import ItemResult
    from primroseford.jobs.state import Progress
    from primroseford.platform.client import PlatformClient
    from primroseford.platform.objects import PlatformObject

JOBS = "batch-jobs"
PARTS = "batch-parts"
SEGMENTS = "batch-results"
CANCELLATIONS = "batch-ends"
CHECKPOINTS = "batch-progress"
MAX_PART_BYTES = 600_000
"""Maximum encoded size of the items in a stored part of a job, well below the store's
limit on a value."""
PIECE_CHARACTERS = 300_000
"""ASCII characters in a piece of an item; escaping can double them."""
MAX_SEGMENT_BYTES = 600_000
"""The same for the results in a segment."""
MAX_PROGRESS_BYTES = 600_000
"""The same for the progress of a job's items."""
SEPARATOR_BYTES = 1
"""Size of the comma between two elements of an encoded list."""
PURPOSES = {
    JOBS: "jobs",
    PARTS: "jobs",
    SEGMENTS: "job results",
    CANCELLATIONS: "job ends",
    CHECKPOINTS: "job progress",
}
"""Purpose under which the calls about each kind are counted."""
FINISHED = "finished"
PIECE = "piece"
"""Field for a piece of the JSON text of an item."""
LAST = "last"
"""Field that tells whether a piece is the last one of its item."""


class JobStore:
    """Reads and writes jobs in the store.

    :param client: client of the platform's service
    :param clock: local time
    """

    def __init__(self, client: PlatformClient, clock: Clock) -> None:
        self.client = client
        self.clock = clock

    async def accept(self, job: Job) -> bool:
        """Store a job.

        :returns: whether the job is new
        :raises PrimrosefordError: its outcome tells whether the job may be accepted
        """
        items = [part for item in job.items for part in split_item(encode_item(item))]
        parts = split_items(items)
        for number, part in enumerate(parts[1:], 1):
            await self._create(PARTS, f"{job.id}.{number}", {"items": part})
        content = encode_job(job) | {"items": parts[0], "parts": len(parts)}
        return await self._create(JOBS, job.id, content)

    async def _create(self, kind: str, name: str, content: dict) -> bool:
        try:
            await self.client.create(kind, name, content, purpose=PURPOSES[kind])
        except PrimrosefordError as error:
            if error.code is ResultCode.ALREADY_EXISTS:
                return False
            raise
        return True

    async def load(self, job: JobId) -> JobView:
        """Return a job with all results committed so far.

        :raises PrimrosefordError: NOT_FOUND, or PLATFORM_UNAVAILABLE
        """
        view = await self.load_items(
            await self.client.get(JOBS, job, purpose=PURPOSES[JOBS])
        )
        await self.refresh(view)
        view.cancelled = await self.is_cancelled(job)
        return view

    async def load_items(self, stored: PlatformObject) -> JobView:
        """Return the job of a stored object with its items, without results."""
        items = list(stored.spec["items"])
        for number in range(1, stored.spec["parts"]):
            name = f"{stored.name}.{number}"
            part = await self.client.get(PARTS, name, purpose=PURPOSES[PARTS])
            items += part.spec["items"]
        return JobView(decode_job(JobId(stored.name), stored.spec, join_items(items)))

    async def refresh(self, view: JobView) -> bool:
        """Read the segments that a view lacks.

        :returns: whether there were any
        """
        before = view.segments
        while not view.finished:
            requested_at = self.clock()
            number = view.segments
            try:
                segment = await self.client.get(
                    SEGMENTS,
                    segment_name(view.job.id, number),
                    purpose=PURPOSES[SEGMENTS],
                )
            except PrimrosefordError as error:
                if error.code is not ResultCode.NOT_FOUND:
                    raise
                if view.segments == number:
                    view.complete_as_of = requested_at
                    break
                continue
            # A concurrent reader of the same view may have added the segment.
            if view.segments == number:
                view.append([decode_result(r) for r in segment.spec["results"]])
        return view.segments > before

    async def commit(self, view: JobView, results: list[ItemResult]) -> bool:
        """Append results, or read the segments that another host appended first.

        :returns: whether this call appended the results; if not, the segments read
            instead may contain them
        """
        number = view.segments
        content = {"results": [encode_result(result) for result in results]}
        if await self._create(SEGMENTS, segment_name(view.job.id, number), content):
            if view.segments == number:
                view.append(results)
            return True
        await self.refresh(view)
        return False

    async def cancel(self, job: JobId) -> None:
        """Record that the caller cancelled a job."""
        await self._create(CANCELLATIONS, job, {})

    async def is_cancelled(self, job: JobId) -> bool:
        """Return whether the caller cancelled a job."""
        try:
            await self.client.get(CANCELLATIONS, job, purpose=PURPOSES[CANCELLATIONS])
        except PrimrosefordError as error:
            if error.code is ResultCode.NOT_FOUND:
                return False
            raise
        return True

    async def cancelled_jobs(self) -> set[JobId]:
        """Return the jobs that callers cancelled."""
        page = await self.client.list(CANCELLATIONS, purpose=PURPOSES[CANCELLATIONS])
        return {JobId(item.name) for item in page.items}

    async def save_progress(
        self, job: JobId, progress: dict[ItemId, Progress], version: Version | None
    ) -> Version:
        """Store the progress of a job's items.

        :param version: version that this host stored last, if any
        :returns: version of the stored progress
        :raises PrimrosefordError: VERSION_CONFLICT if another host has stored progress
            since
        """
        content = {
            "progress": encode_progress(progress),
            "versions": encode_progress_versions(progress),
        }
        if version is None:
            try:
                created = await self.client.create(
                    CHECKPOINTS, job, content, purpose=PURPOSES[CHECKPOINTS]
                )
                return created.version
            except PrimrosefordError as error:
                if error.code is not ResultCode.ALREADY_EXISTS:
                    raise
            version = (
                await self.client.get(CHECKPOINTS, job, purpose=PURPOSES[CHECKPOINTS])
            ).version
        saved = await self.client.update(
            CHECKPOINTS, job, content, version, purpose=PURPOSES[CHECKPOINTS]
        )
        return saved.version

    async def load_progress(self, job: JobId) -> dict[ItemId, Progress]:
        """Return the last stored progress of a job's items."""
        try:
            checkpoint = await self.client.get(
                CHECKPOINTS, job, purpose=PURPOSES[CHECKPOINTS]
            )
        except PrimrosefordError as error:
            if error.code is ResultCode.NOT_FOUND:
                return {}
            raise
        return decode_progress(
            checkpoint.spec["progress"], checkpoint.spec.get("versions")
        )

    async def mark_finished(self, job: JobId) -> None:
        """Record that every item has a result, so that scans skip the job."""
        await self.client.set_status(
            JOBS, job, {FINISHED: True}, purpose=PURPOSES[JOBS]
        )

    async def list_jobs(self) -> list[PlatformObject]:
        """Return the objects of all jobs from a read that may be seconds stale."""
        page = await self.client.list(JOBS, purpose=PURPOSES[JOBS], stale=True)
        return list(page.items)

    async def remove(self, stored: PlatformObject) -> None:
        """Remove a job; an interrupted removal can be repeated.

        The job's object, which names the parts, is removed last. Segments have no list
        and are found by their numbers, so the last one is removed first.
        """
        job = JobId(stored.name)
        for number in reversed(range(await self._count_segments(job))):
            await self._delete(SEGMENTS, segment_name(job, number))
        await self._delete(CHECKPOINTS, job)
        await self._delete(CANCELLATIONS, job)
        for number in range(1, stored.spec["parts"]):
            await self._delete(PARTS, f"{job}.{number}")
        await self._delete(JOBS, job)

    async def _count_segments(self, job: JobId) -> int:
        number = 0
        while True:
            name = segment_name(job, number)
            try:
                await self.client.get(SEGMENTS, name, purpose=PURPOSES[SEGMENTS])
            except PrimrosefordError as error:
                if error.code is not ResultCode.NOT_FOUND:
                    raise
                return number
            number += 1

    async def _delete(self, kind: str, name: str) -> None:
        try:
            await self.client.delete(kind, name, purpose=PURPOSES[kind])
        except PrimrosefordError as error:
            if error.code is not ResultCode.NOT_FOUND:
                raise


def segment_name(job: JobId, number: int) -> str:
    """Return the name of a result segment.

    :param number: number of the segment, starting at 0
    """
    return f"{job}.{number:06d}"


def split_segment_name(name: str) -> tuple[JobId, int]:
    """Return the job and the segment number of a segment's name."""
    job, _, number = name.rpartition(".")
    return JobId(job), int(number)


def is_finished(stored: PlatformObject) -> bool:
    """Return whether a stored job is marked as finished."""
    return isinstance(stored.status, dict) and bool(stored.status.get(FINISHED))


def split_item(item: list) -> list[list | dict]:
    """Split an encoded item that exceeds a part into pieces of its JSON text."""
    if encoded_bytes(item) <= MAX_PART_BYTES:
        return [item]
    text = encode_json(item).decode()
    starts = range(0, len(text), PIECE_CHARACTERS)
    return [
        {PIECE: text[start : start + PIECE_CHARACTERS], LAST: start == starts[-1]}
        for start in starts
    ]


def join_items(items: list[list | dict]) -> list[list]:
    """Return the encoded items of a list in which some are split into pieces."""
    joined: list[list] = []
    text = ""
    for item in items:
        if isinstance(item, list):
            joined.append(item)
            continue
        text += item[PIECE]
        if item[LAST]:
            joined.append(json.loads(text))
            text = ""
    return joined


def split_items(items: list[list | dict]) -> list[list[list | dict]]:
    """Split encoded items into parts of bounded size; returns at least one part."""
    parts: list[list[list | dict]] = [[]]
    size = 0
    for item in items:
        item_bytes = encoded_bytes(item) + SEPARATOR_BYTES
        if parts[-1] and size + item_bytes > MAX_PART_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(item)
        size += item_bytes
    return parts


def first_segment(results: Iterable[ItemResult]) -> list[ItemResult]:
    """Return the first results that fit into one segment; at least one."""
    segment: list[ItemResult] = []
    size = 0
    for result in results:
        size += encoded_bytes(encode_result(result)) + SEPARATOR_BYTES
        if segment and size > MAX_SEGMENT_BYTES:
            break
        segment.append(result)
    return segment


def fitting_progress(progress: dict[ItemId, Progress]) -> dict[ItemId, Progress]:
    """Return the progress that fits into one object, of items with most events first.

    The other items start from the beginning at a host that takes the job over.
    """
    selected: dict[ItemId, Progress] = {}
    size = 0
    by_events = sorted(progress.items(), key=lambda entry: -len(entry[1].data))
    for item, done in by_events:
        # Avoids encoding texts that cannot fit.
        if size + sum(map(len, done.data)) > MAX_PROGRESS_BYTES:
            continue
        encoded = [
            encode_progress({item: done}),
            encode_progress_versions({item: done}),
        ]
        item_bytes = encoded_bytes(encoded) + SEPARATOR_BYTES
        if size + item_bytes <= MAX_PROGRESS_BYTES:
            selected[item] = done
            size += item_bytes
    return selected
