"""Client of a host's OpenAI-compatible batch interface."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import aiohttp

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from pathlib import Path
    from typing import BinaryIO

    Progress = Callable[[int, int], None]
    Sleep = Callable[[float], Awaitable[None]]

CHUNK_BYTES = 256 * 1024
POLL_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 600.0
FINAL_STATUSES = frozenset({"completed", "failed", "expired", "cancelled"})


@dataclass
class JobClient:
    """Client of the jobs of one organisation.

    :param url: URL of a host for callers
    :param key: key of the organisation
    """

    url: str
    key: str
    session: aiohttp.ClientSession

    async def submit(
        self, path: Path, endpoint: str, idempotency_key: str | None, progress: Progress
    ) -> dict[str, Any]:
        """Upload a file of items and create a job from it.

        Both calls are idempotent, so the command can be repeated after a failure.

        :param idempotency_key: identifies the submission
        :param progress: called with the number of bytes sent and in total
        """
        form = aiohttp.FormData()
        form.add_field("purpose", "batch")
        source, size = _open_input(path)
        with source:
            content = _read_with_progress(source, size, progress)
            form.add_field("file", content, filename=path.name)
            uploaded = await self._call("POST", "/v1/files", data=form)
        body = {
            "input_file_id": uploaded["id"],
            "endpoint": endpoint,
            "completion_window": "24h",
        }
        headers = {"Idempotency-Key": idempotency_key} if idempotency_key else {}
        return await self._call("POST", "/v1/batches", headers, json=body)

    async def status(self, job: str) -> dict[str, Any]:
        """Return a job."""
        return await self._call("GET", f"/v1/batches/{job}")

    async def cancel(self, job: str) -> dict[str, Any]:
        """Cancel a job."""
        return await self._call("POST", f"/v1/batches/{job}/cancel")

    async def wait(self, job: str, progress: Progress, sleep: Sleep) -> dict[str, Any]:
        """Poll a job until it has a final status.

        :param progress: called with the number of finished items and of all items
        :param sleep: waits a number of seconds
        """
        while True:
            state = await self.status(job)
            counts = state.get("request_counts") or {}
            finished = counts.get("completed", 0) + counts.get("failed", 0)
            progress(finished, counts.get("total", 0))
            if state.get("status") in FINAL_STATUSES:
                return state
            await sleep(POLL_SECONDS)

    async def results(self, job: str, target: BinaryIO, progress: Progress) -> int:
        """Download the output and error files of a job into one stream.

        :param target: receives the results
        :param progress: called with the number of bytes received and the size of the
            current file, 0 if unknown
        :returns: number of bytes
        :raises PrimrosefordError: JOB_NOT_FINISHED, or the error that the host returned
        """
        state = await self.status(job)
        file_ids = [state.get("output_file_id"), state.get("error_file_id")]
        if not any(file_ids):
            raise PrimrosefordError(
                ResultCode.JOB_NOT_FINISHED,
                f"the job {job} has no results yet; it is {state.get('status')}",
                hint=f"see 'job status {job} --wait'",
            )
        received = 0
        for file_id in filter(None, file_ids):
            path = f"/v1/files/{file_id}/content"
            async with self._request("GET", path) as response:
                await _raise_for_status(response)
                async for chunk in response.content.iter_chunked(CHUNK_BYTES):
                    target.write(chunk)
                    received += len(chunk)
                    progress(received, response.content_length or 0)
        return received

    def _request(self, method: str, path: str, headers=None, **body):
        all_headers = {"Authorization": f"Bearer {self.key}"} | (headers or {})
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        return self.session.request(
            method, self.url + path, headers=all_headers, timeout=timeout, **body
        )

    async def _call(self, method: str, path: str, headers=None, **body):
        try:
            async with self._request(method, path, headers, **body) as response:
                await _raise_for_status(response)
                return await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise PrimrosefordError(
                ResultCode.PEER_UNREACHABLE,
                f"the host did not answer for {path}",
                hint="repeat the command; it does not create a second job",
                outcome=Outcome.MAY_HAVE_RUN,
            ) from error


def _open_input(path: Path) -> tuple[BinaryIO, int]:
    try:
        return path.open("rb"), path.stat().st_size
    except OSError as error:
        raise PrimrosefordError(
            ResultCode.MALFORMED, f"{path} cannot be read: {error.strerror}"
        ) from error


async def _raise_for_status(response: aiohttp.ClientResponse) -> None:
    if response.status < 400:
        return
    number = response.headers.get("X-Primroseford-Code", "")
    codes_by_number = {str(int(code)): code for code in ResultCode}
    message = f"the host answered {response.status}"
    try:
        body = await response.json(content_type=None)
        message = str(body["error"]["message"])
    except (ValueError, KeyError, TypeError):
        pass
    raise PrimrosefordError(codes_by_number.get(number, ResultCode.INTERNAL), message)


async def _read_with_progress(source: BinaryIO, size: int, progress: Progress):
    sent = 0
    while chunk := source.read(CHUNK_BYTES):
        yield chunk
        sent += len(chunk)
        progress(sent, size)
