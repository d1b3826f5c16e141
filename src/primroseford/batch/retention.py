"""Removal of files, jobs and results after their retention, and of orphaned chunks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.batch.files import delete
from primroseford.batch.state import CHUNK_STATES
from primroseford.batch.state import FILE_CHUNKS
from primroseford.batch.state import FILES
from primroseford.batch.state import JOBS
from primroseford.batch.state import RESULT_PARTS
from primroseford.batch.state import UPLOADS
from primroseford.batch.state import JobState
from primroseford.batch.state import decode_file
from primroseford.batch.state import decode_job

if TYPE_CHECKING:
    from primroseford.batch.files import FileStore
    from primroseford.platform.client import PlatformClient

ORPHAN_AGE_SECONDS = 86_400.0


async def remove_expired(
    files: FileStore, now: float, retention_seconds: float
) -> None:
    """Remove objects whose retention has ended. Safe to run on several hosts at once.

    :param now: seconds since the epoch
    :raises PrimrosefordError: PLATFORM_UNAVAILABLE
    """
    client = files.client
    jobs = {o.name: decode_job(o.spec) for o in (await client.list(JOBS)).items}
    for name, job in list(jobs.items()):
        ended = job.state is not JobState.ACTIVE
        if ended and now - job.finished_at >= retention_seconds:
            await _remove_job(client, name)
            del jobs[name]
    referenced_uploads = {job.upload for job in jobs.values()}
    # An upload has a marker until its manifest has been stored. Markers are listed
    # before the files: an upload whose manifest is stored between the two requests is
    # then found as a file, and kept.
    markers = (await client.list(UPLOADS)).items
    for stored in (await client.list(FILES)).items:
        manifest = decode_file(stored.spec)
        is_retained = now - manifest.created_at < retention_seconds
        if is_retained or manifest.upload in referenced_uploads:
            referenced_uploads.add(manifest.upload)
        else:
            await delete(client, FILES, stored.name)
            await files.discard(manifest.upload, len(manifest.chunk_items))
    for marker in markers:
        if now - marker.spec["created_at"] >= ORPHAN_AGE_SECONDS:
            if marker.name not in referenced_uploads:
                await _remove_labelled(client, FILE_CHUNKS, {"upload": marker.name})
            await delete(client, UPLOADS, marker.name)


async def _remove_job(client: PlatformClient, name: str) -> None:
    # The job is deleted last, so that the next run resumes an interrupted removal.
    for kind in (RESULT_PARTS, CHUNK_STATES):
        await _remove_labelled(client, kind, {"job": name})
    await delete(client, JOBS, name)


async def _remove_labelled(
    client: PlatformClient, kind: str, labels: dict[str, str]
) -> None:
    for stored in (await client.list(kind, labels)).items:
        await delete(client, kind, stored.name)
