"""Batch jobs over the OpenAI-compatible interface of a host."""

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
    Pause = Callable[[float], Awaitable[None]]

READ_BYTES = 256 * 1024
POLL_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 600.0
ENDED = frozenset({"completed", "failed", "expired", "cancelled"})


@dataclass
class JobClient:
    """Access to the jobs of one key's organisation.

    :param url: address of a host for callers
    """

    url: str
    key: str
    session: aiohttp.ClientSession

    async def submit(
        self, path: Path, endpoint: str, idempotency_key: str | None, progress: Progress
    ) -> dict[str, Any]:
        """Upload a file of items and create a job of it.

        Both calls may be repeated: a resent file or job is the same file or job.

        :param progress: called with bytes sent and bytes in all
        """
        form = aiohttp.FormData()
        form.add_field("purpose", "batch")
        source, size = _open_items(path)
        with source:
            content = _counted(source, size, progress)
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
        """Return the state of a job."""
        return await self._call("GET", f"/v1/batches/{job}")

    async def cancel(self, job: str) -> dict[str, Any]:
        """Cancel a job."""
        return await self._call("POST", f"/v1/batches/{job}/cancel")

    async def wait(self, job: str, progress: Progress, pause: Pause) -> dict[str, Any]:
        """Wait until a job has ended.

        :param progress: called with items ended and items in all
        """
        while True:
            found = await self.status(job)
            counts = found.get("request_counts") or {}
            ended = counts.get("completed", 0) + counts.get("failed", 0)
            progress(ended, counts.get("total", 0))
            if found.get("status") in ENDED:
                return found
            await pause(POLL_SECONDS)

    async def results(self, job: str, target: BinaryIO, progress: Progress) -> int:
        """Write the results of a job.

        :param progress: called with bytes received and bytes in all, 0 if not known
        :returns: number of bytes
        """
        found = await self.status(job)
        names = [found.get("output_file_id"), found.get("error_file_id")]
        if not any(names):
            raise PrimrosefordError(
                ResultCode.JOB_NOT_FINISHED,
                f"the job {job} has no results yet; it is {found.get('status')}",
                hint=f"see 'job status {job} --wait'",
            )
        received = 0
        for name in filter(None, names):
            path = f"/v1/files/{name}/content"
            async with self._request("GET", path) as answer:
                await _raise_for_status(answer)
                async for chunk in answer.content.iter_chunked(READ_BYTES):
                    target.write(chunk)
                    received += len(chunk)
                    progress(received, answer.content_length or 0)
        return received

    def _request(self, method: str, path: str, headers=None, **body):
        sent = {"Authorization": f"Bearer {self.key}"} | (headers or {})
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        return self.session.request(
            method, self.url + path, headers=sent, timeout=timeout, **body
        )

    async def _call(self, method: str, path: str, headers=None, **body):
        try:
            async with self._request(method, path, headers, **body) as answer:
                await _raise_for_status(answer)
                return await answer.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise PrimrosefordError(
                ResultCode.PEER_UNREACHABLE,
                f"the host did not answer for {path}",
                hint="send the same command again; a repeated job is the same job",
                outcome=Outcome.MAY_HAVE_RUN,
            ) from error


def _open_items(path: Path) -> tuple[BinaryIO, int]:
    try:
        return path.open("rb"), path.stat().st_size
    except OSError as error:
        raise PrimrosefordError(
            ResultCode.MALFORMED, f"{path} cannot be read: {error.strerror}"
        ) from error


async def _raise_for_status(answer: aiohttp.ClientResponse) -> None:
    if answer.status < 400:
        return
    number = answer.headers.get("X-Primroseford-Code", "")
    known = {str(int(code)): code for code in ResultCode}
    message = f"the host answered {answer.status}"
    try:
        body = await answer.json(content_type=None)
        message = str(body["error"]["message"])
    except (ValueError, KeyError, TypeError):
        pass
    raise PrimrosefordError(known.get(number, ResultCode.INTERNAL), message)


async def _counted(source: BinaryIO, size: int, progress: Progress):
    sent = 0
    while chunk := source.read(READ_BYTES):
        yield chunk
        sent += len(chunk)
        progress(sent, size)
