"""Storage of results in the platform's service, and their output lines."""

from __future__ import annotations

import json
import uuid
from typing import TYPE_CHECKING

from primroseford.batch.files import LoopYielder
from primroseford.batch.files import create
from primroseford.batch.state import CHUNK_STATES
from primroseford.batch.state import RESULT_PARTS
from primroseford.batch.state import ChunkState
from primroseford.batch.state import ItemResult
from primroseford.batch.state import JobState
from primroseford.batch.state import decode_chunk
from primroseford.batch.state import decode_result
from primroseford.batch.state import encode_result
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from primroseford.batch.jobs import JobStore
    from primroseford.batch.state import Job
    from primroseford.platform.client import PlatformClient

PART_CHARACTERS = 400_000
"""ASCII characters in a part; escaping can double them, and a stored value is limited
to 1 MB."""
MAX_ANSWER_BYTES = 8 * 1024 * 1024

ENDED_JOB_CODES = {
    JobState.CANCELLED: ResultCode.JOB_CANCELLED,
    JobState.EXPIRED: ResultCode.JOB_EXPIRED,
}
ITEM_MESSAGES = {
    ResultCode.JOB_CANCELLED: "the job was cancelled before the item ran",
    ResultCode.JOB_EXPIRED: "the job's due time passed before the item ran",
    ResultCode.ITEM_INVALID: "the runner refused the item",
    ResultCode.ITEM_ATTEMPTS_EXHAUSTED: "the runner failed on every attempt",
    ResultCode.ITEM_OUTCOME_UNKNOWN: "the item may have run and is not repeated",
    ResultCode.RESULT_TOO_LARGE: "the runner's answer is larger than can be stored",
}


async def store_results(
    client: PlatformClient, job: str, results: list[ItemResult]
) -> tuple[str, ...]:
    """Store results as a group of parts, before the chunk's state refers to them.

    :returns: names of the parts, in order
    :raises PrimrosefordError: PLATFORM_UNAVAILABLE
    """
    yielder = LoopYielder()
    lines = []
    for result in results:
        lines.append(json.dumps(encode_result(result)))
        await yielder.yield_if_due()
    text = "\n".join(lines)
    names = []
    for start in range(0, len(text), PART_CHARACTERS):
        name = uuid.uuid4().hex
        spec = {"text": text[start : start + PART_CHARACTERS]}
        await create(client, RESULT_PARTS, name, spec, {"job": job})
        names.append(name)
    return tuple(names)


async def load_results(
    client: PlatformClient, state: ChunkState
) -> dict[int, ItemResult]:
    """Return the results of a chunk by item.

    :raises PrimrosefordError: PLATFORM_UNAVAILABLE
    """
    yielder = LoopYielder()
    found: dict[int, ItemResult] = {}
    for group in state.parts:
        texts = [(await client.get(RESULT_PARTS, name)).spec["text"] for name in group]
        for line in "".join(texts).split("\n"):
            result = decode_result(json.loads(line))
            found.setdefault(result.index, result)
            await yielder.yield_if_due()
    return found


def output_line(name: str, chunk: int, result: ItemResult) -> bytes:
    """Return one line of an output file in OpenAI's format."""
    response = error = None
    if result.status:
        try:
            body = json.loads(result.body)
        except ValueError:
            body = result.body
        response = {
            "status_code": result.status,
            "request_id": request_id(name, chunk, result.index),
            "body": body,
        }
    if not result.completed:
        message = ITEM_MESSAGES.get(result.code, "the item failed")
        error = {"code": str(int(result.code)), "message": message}
    line = {
        "id": request_id(name, chunk, result.index),
        "custom_id": result.custom_id,
        "response": response,
        "error": error,
    }
    return json.dumps(line).encode() + b"\n"


def request_id(name: str, chunk: int, index: int) -> str:
    """Return the request id of an item, equal on each attempt."""
    return f"{name}-{chunk}-{index}"


async def stream_results(
    jobs: JobStore, name: str, job: Job, completed: bool
) -> AsyncIterator[bytes]:
    """Yield the output lines of a job in item order.

    Items without a result are omitted while the job is active. After a cancel or
    expiry they are reported as failed, with the reason.

    :param completed: yield completed items if true, else failed items
    :raises PrimrosefordError: PLATFORM_UNAVAILABLE
    """
    yielder = LoopYielder()
    for number in range(len(job.chunk_items)):
        state = await _chunk_state(jobs.client, name, number)
        results = await load_results(jobs.client, state) if state else {}
        if not completed and job.state in ENDED_JOB_CODES:
            await _add_missing(jobs, job, number, state, results)
        block = []
        for index in sorted(results):
            if results[index].completed is completed:
                block.append(output_line(name, number, results[index]))
            await yielder.yield_if_due()
        if block:
            yield b"".join(block)


async def _chunk_state(
    client: PlatformClient, name: str, number: int
) -> ChunkState | None:
    try:
        return decode_chunk((await client.get(CHUNK_STATES, f"{name}-{number}")).spec)
    except PrimrosefordError as error:
        if error.code is ResultCode.NOT_FOUND:
            return None
        raise


async def _add_missing(
    jobs: JobStore,
    job: Job,
    number: int,
    state: ChunkState | None,
    results: dict[int, ItemResult],
) -> None:
    lines = await jobs.files.chunk_lines(job.upload, number)
    yielder = LoopYielder()
    for index, line in enumerate(lines):
        if index not in results:
            sent = state is not None and index in state.intents
            code = (
                ResultCode.ITEM_OUTCOME_UNKNOWN if sent else ENDED_JOB_CODES[job.state]
            )
            custom_id = json.loads(line)["custom_id"]
            results[index] = ItemResult(index, custom_id, code)
        await yielder.yield_if_due()
