"""Jobs: validation, submission, progress, cancellation and completion."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from primroseford.batch.files import CONFLICT_CODES
from primroseford.batch.files import create
from primroseford.batch.files import delete
from primroseford.batch.files import not_found
from primroseford.batch.files import update
from primroseford.batch.state import CHUNK_STATES
from primroseford.batch.state import JOBS
from primroseford.batch.state import ChunkPhase
from primroseford.batch.state import ChunkState
from primroseford.batch.state import Job
from primroseford.batch.state import JobState
from primroseford.batch.state import decode_chunk
from primroseford.batch.state import decode_job
from primroseford.batch.state import encode_job
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.batch.files import FileStore
    from primroseford.platform.client import PlatformClient
    from primroseford.platform.objects import PlatformObject

WINDOW_SECONDS = {"24h": 86_400.0}
MIN_DUE_SECONDS = 60.0
DUE_FIELD = "due_in_seconds"
MAX_METADATA_FIELDS = 16
MAX_METADATA_KEY_CHARACTERS = 64
MAX_METADATA_VALUE_CHARACTERS = 512
MAX_KEY_CHARACTERS = 255
MAX_UPDATE_TRIES = 8
"""Tries of a conditional update; each conflict means that another writer's update
succeeded."""


@dataclass(frozen=True)
class JobRequest:
    """Validated request for a job.

    :param key: the caller's idempotency key; empty without one
    :param due_seconds: seconds from acceptance until unfinished items expire
    """

    file: str
    endpoint: str
    window: str
    metadata: dict[str, str]
    key: str
    due_seconds: float


@dataclass(frozen=True)
class Progress:
    """Number of completed and failed items of a job."""

    completed: int
    failed: int


def field_error(field: str, message: str, code: ResultCode = ResultCode.INVALID_VALUE):
    """Return the error for an invalid field of a request."""
    return PrimrosefordError(code, f"{field} {message}", field=field)


def check_request(body: object, key: str) -> JobRequest:
    """Validate the request for a job.

    :param body: decoded JSON
    :param key: header ``Idempotency-Key``
    :raises PrimrosefordError: with the name of the invalid field
    """
    if not isinstance(body, dict):
        raise field_error("body", "must be a JSON object", ResultCode.MALFORMED)
    known = {"input_file_id", "endpoint", "completion_window", "metadata"}
    for name in sorted(body.keys() - known):
        raise field_error(
            str(name)[:64], "is not a known field", ResultCode.UNKNOWN_FIELD
        )
    for name in ("input_file_id", "endpoint", "completion_window"):
        if name not in body:
            raise field_error(name, "is missing", ResultCode.MISSING_FIELD)
        if not isinstance(body[name], str) or not 0 < len(body[name]) <= 128:
            raise field_error(name, "must be text of 1 to 128 characters")
    if body["completion_window"] not in WINDOW_SECONDS:
        raise field_error(
            "completion_window", f"must be one of {', '.join(WINDOW_SECONDS)}"
        )
    if len(key) > MAX_KEY_CHARACTERS:
        raise field_error(
            "Idempotency-Key", f"is longer than {MAX_KEY_CHARACTERS} characters"
        )
    metadata = _check_metadata(body.get("metadata"))
    window = body["completion_window"]
    due = _check_due(metadata, WINDOW_SECONDS[window])
    file, endpoint = body["input_file_id"], body["endpoint"]
    return JobRequest(file, endpoint, window, metadata, key, due)


def _check_metadata(value: object) -> dict[str, str]:
    if value is None:
        return {}
    if not isinstance(value, dict) or len(value) > MAX_METADATA_FIELDS:
        raise field_error(
            "metadata", f"must be an object of at most {MAX_METADATA_FIELDS} fields"
        )
    for key, text in value.items():
        if len(key) > MAX_METADATA_KEY_CHARACTERS:
            raise field_error(
                "metadata",
                f"has a key of over {MAX_METADATA_KEY_CHARACTERS} characters",
            )
        if not isinstance(text, str) or len(text) > MAX_METADATA_VALUE_CHARACTERS:
            limit = MAX_METADATA_VALUE_CHARACTERS
            raise field_error(
                f"metadata.{key}", f"must be text of at most {limit} characters"
            )
    return value


def _check_due(metadata: dict[str, str], window: float) -> float:
    text = metadata.get(DUE_FIELD)
    if text is None:
        return window
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise field_error(f"metadata.{DUE_FIELD}", "must be a whole number of seconds")
    if not MIN_DUE_SECONDS <= int(text) <= window:
        raise field_error(
            f"metadata.{DUE_FIELD}", f"must be {MIN_DUE_SECONDS:g} to {window:g}"
        )
    return float(text)


def fingerprint(request: JobRequest) -> str:
    """Return a hash of the fields that must be equal in a resent request."""
    parts = [request.file, request.endpoint, request.window, request.metadata]
    text = json.dumps(parts, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()


def job_name(organisation: str, request: JobRequest) -> str:
    """Return the id of a job, derived from its key or file for idempotency."""
    identity = ["key", request.key]
    if not request.key:
        identity = ["file", request.file, request.endpoint]
    text = json.dumps([organisation, *identity])
    return f"batch-{hashlib.sha256(text.encode()).hexdigest()[:32]}"


def job_labels(job: Job) -> dict[str, str]:
    """Return the labels that select jobs in lists."""
    return {
        "organisation": job.organisation,
        "state": job.state.value,
        "file": job.file,
        "upload": job.upload,
    }


class JobStore:
    """Jobs of all organisations.

    :param client: client of the platform's service
    :param files: input files
    :param wall_clock: seconds since the epoch
    """

    def __init__(
        self, client: PlatformClient, files: FileStore, wall_clock: Callable[[], float]
    ) -> None:
        self.client = client
        self.files = files
        self.wall_clock = wall_clock

    async def submit(self, organisation: str, request: JobRequest) -> tuple[str, Job]:
        """Store a job, or return the one stored for the same request.

        :returns: id and job, durable
        :raises PrimrosefordError: NOT_FOUND, INVALID_VALUE, IDEMPOTENCY_CONFLICT
            or PLATFORM_UNAVAILABLE
        """
        manifest = await self.files.get(organisation, request.file)
        if manifest.endpoint != request.endpoint:
            raise field_error(
                "endpoint", f"differs from the file's url {manifest.endpoint}"
            )
        now = self.wall_clock()
        job = Job(
            organisation=organisation,
            file=request.file,
            upload=manifest.upload,
            endpoint=request.endpoint,
            model=manifest.model,
            chunk_items=manifest.chunk_items,
            fingerprint=fingerprint(request),
            window=request.window,
            due_at=now + request.due_seconds,
            created_at=now,
            metadata=request.metadata,
        )
        name = job_name(organisation, request)
        found, created = await create(
            self.client, JOBS, name, encode_job(job), job_labels(job)
        )
        stored = decode_job(found.spec)
        if created:
            await self._confirm_file(organisation, name, request.file)
        elif stored.fingerprint != job.fingerprint:
            raise PrimrosefordError(
                ResultCode.IDEMPOTENCY_CONFLICT,
                "a job with this key or file was accepted with other content",
                field="Idempotency-Key",
                hint="send another Idempotency-Key for another job",
            )
        return name, stored

    async def _confirm_file(self, organisation: str, name: str, file: str) -> None:
        # The file may have been deleted between the first read and the create.
        try:
            await self.files.get(organisation, file)
        except PrimrosefordError as error:
            if error.code is ResultCode.NOT_FOUND:
                await delete(self.client, JOBS, name)
            raise

    async def read(self, name: str) -> tuple[Job, PlatformObject]:
        """Return a job with its stored object.

        :raises PrimrosefordError: NOT_FOUND or PLATFORM_UNAVAILABLE
        """
        try:
            found = await self.client.get(JOBS, name)
        except PrimrosefordError as error:
            if error.code is ResultCode.NOT_FOUND:
                raise not_found("batch", name) from error
            raise
        return decode_job(found.spec), found

    async def get(self, organisation: str, name: str) -> Job:
        """Return a job of an organisation.

        :raises PrimrosefordError: NOT_FOUND, also for another organisation's job
        """
        job, _ = await self.read(name)
        if job.organisation != organisation:
            raise not_found("batch", name)
        return job

    async def list(self, organisation: str) -> list[tuple[str, Job]]:
        """Return the organisation's jobs, newest first."""
        found = await self.client.list(JOBS, {"organisation": organisation})
        jobs = [(item.name, decode_job(item.spec)) for item in found.items]
        return sorted(jobs, key=lambda pair: (-pair[1].created_at, pair[0]))

    async def active(self) -> list[tuple[str, Job]]:
        """Return the active jobs of all organisations."""
        found = await self.client.list(JOBS, {"state": JobState.ACTIVE.value})
        return [(item.name, decode_job(item.spec)) for item in found.items]

    async def finish(self, name: str, state: JobState) -> Job:
        """Set the final state of a job; the first one that is stored persists.

        :returns: the job as stored, with its final state
        :raises PrimrosefordError: NOT_FOUND or PLATFORM_UNAVAILABLE
        """
        for _ in range(MAX_UPDATE_TRIES):
            job, found = await self.read(name)
            if job.state is not JobState.ACTIVE:
                return job
            ended = replace(job, state=state, finished_at=self.wall_clock())
            try:
                await update(self.client, found, encode_job(ended), job_labels(ended))
            except PrimrosefordError as error:
                if error.code not in CONFLICT_CODES:
                    raise
            else:
                return ended
        raise PrimrosefordError(
            ResultCode.VERSION_CONFLICT,
            f"job {name} changes too often",
            retry_after=1.0,
        )

    async def cancel(self, organisation: str, name: str) -> Job:
        """Cancel a job.

        :raises PrimrosefordError: NOT_FOUND, or JOB_FINISHED if the job has another
            final state
        """
        await self.get(organisation, name)
        job = await self.finish(name, JobState.CANCELLED)
        if job.state is not JobState.CANCELLED:
            raise PrimrosefordError(
                ResultCode.JOB_FINISHED, f"job {name} is already {job.state.value}"
            )
        return job

    async def chunks(self, name: str) -> list[tuple[ChunkState, PlatformObject]]:
        """Return the chunks of a job that have been claimed at least once."""
        found = await self.client.list(CHUNK_STATES, {"job": name})
        return [(decode_chunk(item.spec), item) for item in found.items]

    async def progress(self, name: str) -> Progress:
        """Return the number of completed and failed items of a job."""
        states = [state for state, _ in await self.chunks(name)]
        failed = sum(state.failed for state in states)
        return Progress(sum(len(state.done) for state in states) - failed, failed)

    async def close_if_done(self, name: str, job: Job) -> bool:
        """Complete a job if all of its chunks are committed.

        :returns: whether all chunks are committed
        """
        states = [state for state, _ in await self.chunks(name)]
        done = sum(state.phase is ChunkPhase.COMMITTED for state in states)
        if done < len(job.chunk_items):
            return False
        await self.finish(name, JobState.COMPLETED)
        return True
