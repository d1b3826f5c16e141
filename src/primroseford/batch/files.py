"""Storage of uploaded input files."""

from __future__ import annotations

import asyncio
import hashlib
import time
import uuid
from typing import TYPE_CHECKING

import structlog

from primroseford.batch.items import UploadState
from primroseford.batch.items import add_line
from primroseford.batch.items import close_chunk
from primroseford.batch.items import split_lines
from primroseford.batch.state import FILE_CHUNKS
from primroseford.batch.state import FILES
from primroseford.batch.state import JOBS
from primroseford.batch.state import UPLOADS
from primroseford.batch.state import FileManifest
from primroseford.batch.state import JobState
from primroseford.batch.state import decode_file
from primroseford.batch.state import encode_file
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from primroseford.platform.client import PlatformClient
    from primroseford.platform.objects import PlatformObject

log = structlog.get_logger()

MAX_BLOCKING_SECONDS = 0.005
"""Longest time that a task may block the event loop before it yields."""
CONFLICT_CODES = frozenset({ResultCode.ALREADY_EXISTS, ResultCode.VERSION_CONFLICT})
"""Codes of a conditional write that lost against another writer."""


class LoopYielder:
    """Yields to the event loop during long loops without I/O."""

    def __init__(self) -> None:
        self.started = time.perf_counter()

    async def yield_if_due(self) -> None:
        """Yield if MAX_BLOCKING_SECONDS have passed since the last yield."""
        if time.perf_counter() - self.started >= MAX_BLOCKING_SECONDS:
            await asyncio.sleep(0)
            self.started = time.perf_counter()


class FileStore:
    """Input files of all organisations.

    :param client: client of the platform's service
    :param wall_clock: seconds since the epoch
    """

    def __init__(self, client: PlatformClient, wall_clock: Callable[[], float]) -> None:
        self.client = client
        self.wall_clock = wall_clock

    async def upload(
        self, organisation: str, filename: str, data: AsyncIterator[bytes]
    ) -> tuple[str, FileManifest]:
        """Validate and store a file; the same content gets the same file again.

        :returns: file id and manifest, both durable
        :raises PrimrosefordError: for an invalid line or PLATFORM_UNAVAILABLE
        """
        upload = uuid.uuid4().hex
        # The marker records the upload, so that retention finds and removes its
        # chunks if this host fails before the manifest is stored.
        marker = {"organisation": organisation, "created_at": self.wall_clock()}
        await create(self.client, UPLOADS, upload, marker, {})
        upload_state = UploadState()
        try:
            await self._store_lines(upload, upload_state, data)
            file_id, manifest = self._manifest(
                organisation, filename, upload, upload_state
            )
            stored = await self._store_manifest(file_id, manifest)
        except PrimrosefordError as error:
            if error.code is not ResultCode.PLATFORM_UNAVAILABLE:
                await self.discard(upload, len(upload_state.chunk_items))
            raise
        await self._clean_up_upload(upload, stored, upload_state)
        return file_id, stored

    async def _clean_up_upload(
        self, upload: str, stored: FileManifest, upload_state: UploadState
    ) -> None:
        # The file is durable, so a failure here must not fail the upload. The marker
        # lets retention remove the objects that remain.
        try:
            if stored.upload == upload:
                await delete(self.client, UPLOADS, upload)
            else:
                await self.discard(upload, len(upload_state.chunk_items))
        except PrimrosefordError as error:
            log.warning(
                "upload marker not removed", upload=upload, code=int(error.code)
            )

    async def _store_lines(
        self, upload: str, upload_state: UploadState, data: AsyncIterator[bytes]
    ) -> None:
        yielder = LoopYielder()
        async for block in data:
            for line in split_lines(upload_state, block):
                full = add_line(upload_state, line)
                if full:
                    await self._store_chunk(
                        upload, len(upload_state.chunk_items) - 1, full
                    )
                await yielder.yield_if_due()
        full = add_line(upload_state, upload_state.partial_line)
        if full:
            await self._store_chunk(upload, len(upload_state.chunk_items) - 1, full)
        last = close_chunk(upload_state)
        if last:
            await self._store_chunk(upload, len(upload_state.chunk_items) - 1, last)

    async def _store_chunk(self, upload: str, number: int, lines: list[str]) -> None:
        spec = {"text": "\n".join(lines)}
        name = f"{upload}-{number}"
        await create(self.client, FILE_CHUNKS, name, spec, {"upload": upload})

    def _manifest(
        self, organisation: str, filename: str, upload: str, upload_state: UploadState
    ) -> tuple[str, FileManifest]:
        if upload_state.first_item is None:
            raise PrimrosefordError(
                ResultCode.MISSING_FIELD, "the file has no items", field="file"
            )
        digest = upload_state.digest.hexdigest()
        return file_id_of(organisation, digest), FileManifest(
            organisation=organisation,
            filename=filename,
            sha256=digest,
            upload=upload,
            size=upload_state.size,
            chunk_items=upload_state.chunk_items,
            endpoint=upload_state.first_item.url,
            model=upload_state.first_item.model,
            created_at=self.wall_clock(),
        )

    async def _store_manifest(self, name: str, manifest: FileManifest) -> FileManifest:
        labels = {"organisation": manifest.organisation}
        found, _ = await create(self.client, FILES, name, encode_file(manifest), labels)
        return decode_file(found.spec)

    async def get(self, organisation: str, file_id: str) -> FileManifest:
        """Return the manifest of a file.

        :raises PrimrosefordError: NOT_FOUND, also for another organisation's file
        """
        try:
            manifest = decode_file((await self.client.get(FILES, file_id)).spec)
        except PrimrosefordError as error:
            if error.code is ResultCode.NOT_FOUND:
                raise not_found("file", file_id) from error
            raise
        if manifest.organisation != organisation:
            raise not_found("file", file_id)
        return manifest

    async def chunk_lines(self, upload: str, number: int) -> list[str]:
        """Return the input lines of a chunk."""
        found = await self.client.get(FILE_CHUNKS, f"{upload}-{number}")
        return found.spec["text"].split("\n")

    async def delete(self, organisation: str, file_id: str) -> None:
        """Delete a file that is not the input of an active job.

        Its chunks are kept while a finished job refers to them.

        :raises PrimrosefordError: NOT_FOUND or FILE_IN_USE
        """
        manifest = await self.get(organisation, file_id)
        jobs = (await self.client.list(JOBS, {"file": file_id})).items
        if any(item.labels.get("state") == JobState.ACTIVE.value for item in jobs):
            raise PrimrosefordError(
                ResultCode.FILE_IN_USE,
                f"file {file_id} is the input of an active job",
                hint="cancel the job or wait until it has finished",
            )
        await delete(self.client, FILES, file_id)
        if not jobs:
            await self.discard(manifest.upload, len(manifest.chunk_items))

    async def discard(self, upload: str, chunks: int) -> None:
        """Remove the chunks of an upload and then its marker."""
        for number in range(chunks):
            await delete(self.client, FILE_CHUNKS, f"{upload}-{number}")
        await delete(self.client, UPLOADS, upload)


def file_id_of(organisation: str, digest: str) -> str:
    """Return the id of a file; equal content of an organisation has the same id."""
    identity = hashlib.sha256(f"{organisation}\0{digest}".encode()).hexdigest()
    return f"file-{identity[:32]}"


def not_found(what: str, name: str) -> PrimrosefordError:
    """Return the error for a file or job that is not visible to the caller."""
    return PrimrosefordError(
        ResultCode.NOT_FOUND, f"there is no {what} {name[:80]!r}", field=f"{what}_id"
    )


async def create(
    client: PlatformClient, kind: str, name: str, spec: dict, labels: dict[str, str]
) -> tuple[PlatformObject, bool]:
    """Create an object, or return the existing one with its name.

    :returns: the stored object, and whether this call created it
    :raises PrimrosefordError: PLATFORM_UNAVAILABLE
    """
    try:
        return await client.create(kind, name, spec, labels), True
    except PrimrosefordError as error:
        if error.code is ResultCode.NOT_FOUND:
            # The client reads the object after a lost response. It does not exist,
            # so the create had no effect.
            raise PrimrosefordError(
                ResultCode.PLATFORM_UNAVAILABLE,
                f"{kind}/{name} was not stored",
                retry_after=1.0,
            ) from error
        if error.code not in CONFLICT_CODES:
            raise
    return await client.get(kind, name), False


async def delete(client: PlatformClient, kind: str, name: str) -> None:
    """Delete an object if it exists."""
    try:
        await client.delete(kind, name)
    except PrimrosefordError as error:
        if error.code is not ResultCode.NOT_FOUND:
            raise


async def update(
    client: PlatformClient,
    found: PlatformObject,
    spec: dict,
    labels: dict[str, str],
) -> PlatformObject:
    """Replace an object if its version is unchanged (compare-and-set).

    HTTP clients resend a PUT after a broken connection, and the second one conflicts
    with the first. The specs of different writers differ, so a stored spec that equals
    this one comes from this writer's own first request.

    :raises PrimrosefordError: VERSION_CONFLICT, NOT_FOUND or PLATFORM_UNAVAILABLE
    """
    try:
        return await client.update(found.kind, found.name, spec, found.version, labels)
    except PrimrosefordError as error:
        if error.code is not ResultCode.VERSION_CONFLICT:
            raise
        stored = await client.get(found.kind, found.name)
        if stored.spec != spec:
            raise
        return stored
