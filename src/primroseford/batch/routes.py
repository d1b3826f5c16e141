"""HTTP handlers of OpenAI's files and batches interface."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import web

from primroseford.batch.jobs import check_request
from primroseford.batch.jobs import field_error
from primroseford.batch.openai_bodies import batch_body
from primroseford.batch.openai_bodies import file_body
from primroseford.batch.results import stream_results
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.keys.secrets import authenticate
from primroseford.keys.secrets import still_valid
from primroseford.online.credentials import read_key
from primroseford.routing.match import match_route

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from primroseford.batch.files import FileStore
    from primroseford.batch.jobs import JobStore
    from primroseford.batch.state import Job
    from primroseford.configuration.store import ConfigurationStore
    from primroseford.keys.secrets import Identity

READ_BLOCK_BYTES = 64 * 1024
MAX_FIELD_BYTES = 1024
MAX_FILENAME_CHARACTERS = 255
MAX_REQUEST_BYTES = 64 * 1024
DEFAULT_PAGE_SIZE = 20
MAX_PAGE_SIZE = 100


@dataclass(frozen=True)
class BatchApi:
    """Dependencies of the handlers.

    :param on_cancel: called with a job's id after its cancellation is durable
    """

    configuration: ConfigurationStore
    files: FileStore
    jobs: JobStore
    on_cancel: Callable[[str], Awaitable[None]] | None = None


def add_batch_routes(app: web.Application, api: BatchApi) -> None:
    """Add ``/v1/files`` and ``/v1/batches`` to an application.

    :param app: application whose middleware turns errors into responses
    :param api: stores and configuration
    """
    routes = [
        ("POST", "/v1/files", _upload),
        ("GET", "/v1/files/{id}", _get_file),
        ("GET", "/v1/files/{id}/content", _get_content),
        ("DELETE", "/v1/files/{id}", _delete_file),
        ("POST", "/v1/batches", _submit),
        ("GET", "/v1/batches", _list_jobs),
        ("GET", "/v1/batches/{id}", _get_job),
        ("POST", "/v1/batches/{id}/cancel", _cancel),
    ]
    for method, path, handler in routes:
        app.router.add_route(method, path, _bind(handler, api))


def _bind(handler, api: BatchApi):
    async def handle(request: web.Request) -> web.StreamResponse:
        identity = authenticate(api.configuration.current(), read_key(request))
        return await handler(request, api, identity)

    return handle


async def _upload(request: web.Request, api: BatchApi, identity: Identity):
    if request.content_type != "multipart/form-data":
        raise field_error(
            "Content-Type", "must be multipart/form-data", ResultCode.MALFORMED
        )
    purpose = stored = None
    try:
        async for part in await request.multipart():
            if part.name == "purpose":
                purpose = await _read_text_field(part)
                _check_purpose(purpose)
            elif part.name == "file" and stored is None:
                name = (part.filename or "input.jsonl")[:MAX_FILENAME_CHARACTERS]
                stored = await api.files.upload(
                    identity.organisation, name, _part_blocks(part)
                )
            else:
                field = str(part.name)[:64]
                raise field_error(
                    field, "is not a known field", ResultCode.UNKNOWN_FIELD
                )
    except ValueError as error:
        raise field_error(
            "body", "is not valid form data", ResultCode.MALFORMED
        ) from error
    if stored is None:
        raise field_error("file", "is missing", ResultCode.MISSING_FIELD)
    _check_purpose(purpose)
    return web.json_response(file_body(*stored))


def _check_purpose(purpose: str | None) -> None:
    if purpose is None:
        raise field_error("purpose", "is missing", ResultCode.MISSING_FIELD)
    if purpose != "batch":
        raise field_error("purpose", "must be 'batch'")


async def _read_text_field(part) -> str:
    data = await part.read_chunk(MAX_FIELD_BYTES)
    if not part.at_eof() and await part.read_chunk(MAX_FIELD_BYTES):
        raise field_error(str(part.name), f"is longer than {MAX_FIELD_BYTES} bytes")
    return bytes(data).decode(errors="replace")


async def _part_blocks(part) -> AsyncIterator[bytes]:
    while block := await part.read_chunk(READ_BLOCK_BYTES):
        yield bytes(block)


async def _get_file(request: web.Request, api: BatchApi, identity: Identity):
    file_id = request.match_info["id"]
    output = await _find_output(api, identity, file_id)
    if output is not None:
        return web.json_response(file_body(file_id, output[1]))
    manifest = await api.files.get(identity.organisation, file_id)
    return web.json_response(file_body(file_id, manifest))


async def _find_output(
    api: BatchApi, identity: Identity, file_id: str
) -> tuple[str, Job, bool] | None:
    for suffix, completed in (("-output", True), ("-errors", False)):
        if file_id.startswith("batch-") and file_id.endswith(suffix):
            name = file_id.removesuffix(suffix)
            return name, await api.jobs.get(identity.organisation, name), completed
    return None


async def _get_content(request: web.Request, api: BatchApi, identity: Identity):
    file_id = request.match_info["id"]
    output = await _find_output(api, identity, file_id)
    if output is None:
        manifest = await api.files.get(identity.organisation, file_id)
        blocks = _input_blocks(api, manifest.upload, len(manifest.chunk_items))
    else:
        blocks = stream_results(api.jobs, *output)
    return await _stream(request, api, identity, blocks)


async def _input_blocks(api: BatchApi, upload: str, chunks: int):
    for number in range(chunks):
        lines = await api.files.chunk_lines(upload, number)
        yield ("\n".join(lines) + "\n").encode()


async def _stream(
    request: web.Request, api: BatchApi, identity: Identity, blocks
) -> web.StreamResponse:
    # The first block is read before the response starts, so that an unavailable
    # platform results in an error status and not in a truncated response.
    first = await anext(blocks, b"")
    response = web.StreamResponse()
    response.content_type = "application/jsonl"
    await response.prepare(request)
    await response.write(first)
    try:
        async for block in blocks:
            if not still_valid(api.configuration.current(), identity):
                break
            await response.write(block)
        else:
            return response
    except PrimrosefordError:
        pass
    # Aborting the connection signals to the caller that the content is incomplete.
    if request.transport is not None:
        request.transport.abort()
    return response


async def _delete_file(request: web.Request, api: BatchApi, identity: Identity):
    file_id = request.match_info["id"]
    await api.files.delete(identity.organisation, file_id)
    return web.json_response({"id": file_id, "object": "file", "deleted": True})


async def _submit(request: web.Request, api: BatchApi, identity: Identity):
    body = await request.content.read(MAX_REQUEST_BYTES + 1)
    while len(body) <= MAX_REQUEST_BYTES and not request.content.at_eof():
        body += await request.content.read(MAX_REQUEST_BYTES + 1 - len(body))
    if len(body) > MAX_REQUEST_BYTES:
        raise field_error("body", "is too large", ResultCode.BODY_TOO_LARGE)
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise field_error("body", "is not valid JSON", ResultCode.MALFORMED) from error
    job_request = check_request(value, request.headers.get("Idempotency-Key", ""))
    manifest = await api.files.get(identity.organisation, job_request.file)
    tables = api.configuration.current()
    route = match_route(tables, "", job_request.endpoint, manifest.model)
    if not route.open and identity.organisation not in route.organisations:
        raise PrimrosefordError(
            ResultCode.NOT_AUTHORISED,
            f"the organisation may not use route {route.name}",
            field="endpoint",
        )
    name, job = await api.jobs.submit(identity.organisation, job_request)
    return await _answer_job(api, name, job)


async def _answer_job(api: BatchApi, name: str, job: Job) -> web.Response:
    return web.json_response(batch_body(name, job, await api.jobs.progress(name)))


async def _get_job(request: web.Request, api: BatchApi, identity: Identity):
    name = request.match_info["id"]
    job = await api.jobs.get(identity.organisation, name)
    return await _answer_job(api, name, job)


async def _cancel(request: web.Request, api: BatchApi, identity: Identity):
    name = request.match_info["id"]
    job = await api.jobs.cancel(identity.organisation, name)
    if api.on_cancel is not None:
        await api.on_cancel(name)
    return await _answer_job(api, name, job)


async def _list_jobs(request: web.Request, api: BatchApi, identity: Identity):
    limit = request.query.get("limit", str(DEFAULT_PAGE_SIZE))
    if (
        not limit.isascii()
        or not limit.isdigit()
        or not 1 <= int(limit) <= MAX_PAGE_SIZE
    ):
        raise field_error("limit", f"must be 1 to {MAX_PAGE_SIZE}")
    jobs = await api.jobs.list(identity.organisation)
    after = request.query.get("after")
    if after is not None:
        names = [name for name, _ in jobs]
        if after not in names:
            raise field_error("after", "is not the id of a job")
        jobs = jobs[names.index(after) + 1 :]
    page = jobs[: int(limit)]
    data = [batch_body(n, job, await api.jobs.progress(n)) for n, job in page]
    body = {"object": "list", "data": data, "has_more": len(jobs) > len(page)}
    if page:
        body |= {"first_id": page[0][0], "last_id": page[-1][0]}
    return web.json_response(body)
