"""Callers of the demo: online requests, plain calls and a batch job."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from primroseford.demo.fleet import Fleet

END_MARK = b"data: [DONE]\n\n"
REQUEST_PAUSE_SECONDS = 0.05
JOB_POLL_SECONDS = 0.2
INVALID_ITEMS = frozenset({500, 1500})
INVALID_PROMPT = "cannot-be-done"
FINAL_STATUSES = frozenset({"completed", "failed", "expired", "cancelled"})


@dataclass
class Caller:
    """One organisation's online caller; it spreads its requests over the hosts.

    :param statuses: number of answers by HTTP status
    :param broken: answers that were not whole
    """

    fleet: Fleet
    organisation: str
    model: str
    statuses: Counter[int] = field(default_factory=Counter)
    broken: int = 0

    async def run(self, stop: asyncio.Event) -> None:
        """Send whole and streamed requests in turn until ``stop`` is set."""
        hosts = itertools.cycle(self.fleet.hosts)
        for number in itertools.count():
            if stop.is_set():
                return
            await self.send(next(hosts).address, number, number % 2 == 1)
            await asyncio.sleep(REQUEST_PAUSE_SECONDS)

    async def send(self, address: str, number: int, stream: bool) -> None:
        """Send one request and check that its answer is whole."""
        body = {
            "model": self.model,
            "messages": [{"role": "user", "content": f"request {number}"}],
            "stream": stream,
            "max_tokens": 8,
        }
        url = f"http://{address}/v1/chat/completions"
        try:
            async with self.fleet.session.post(
                url, json=body, headers=bearer(self.fleet.keys[self.organisation])
            ) as answer:
                content = await answer.read()
        except aiohttp.ClientError:
            self.broken += 1
            return
        self.statuses[answer.status] += 1
        if answer.status == 200 and not is_whole(content, stream):
            self.broken += 1


def is_whole(content: bytes, stream: bool) -> bool:
    """Return whether a chat answer is complete.

    :param content: body of the answer
    :param stream: whether it was streamed
    """
    if stream:
        return content.endswith(END_MARK) and content.count(b"data: ") == 9
    return len(json.loads(content)["choices"][0]["message"]["content"].split()) == 8


def bearer(secret: str) -> dict[str, str]:
    """Return the header that carries a key."""
    return {"Authorization": f"Bearer {secret}"}


async def call_desk(fleet: Fleet, count: int) -> Counter[int]:
    """Send calls that may not be repeated to the dispatch desk.

    :returns: number of answers by HTTP status
    """
    statuses: Counter[int] = Counter()
    for number in range(count):
        host = fleet.hosts[number % len(fleet.hosts)]
        headers = bearer(fleet.keys["rounds-north"]) | {"X-Call": f"call-{number}"}
        url = f"http://{host.address}/dispatch/flags"
        async with fleet.session.post(url, data=b"{}", headers=headers) as answer:
            await answer.read()
            statuses[answer.status] += 1
    return statuses


def job_lines(count: int) -> bytes:
    """Return the input file of a job with a few items that can never be done."""
    lines = []
    for number in range(count):
        prompt = INVALID_PROMPT if number in INVALID_ITEMS else f"lot {number}"
        body = {
            "model": "repair-notes",
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": 4,
        }
        url = "/v1/chat/completions"
        item = {"custom_id": f"lot-{number}", "method": "POST", "url": url}
        lines.append(json.dumps(item | {"body": body}))
    return "\n".join(lines).encode()


async def submit_job(fleet: Fleet, organisation: str, content: bytes) -> str:
    """Upload a file and create a job through the first host.

    :returns: id of the job
    """
    headers = bearer(fleet.keys[organisation])
    base = f"http://{fleet.hosts[0].address}/v1"
    form = aiohttp.FormData()
    form.add_field("purpose", "batch")
    form.add_field("file", content, filename="lots.jsonl")
    async with fleet.session.post(base + "/files", data=form, headers=headers) as found:
        found.raise_for_status()
        file_id = (await found.json())["id"]
    body = {
        "input_file_id": file_id,
        "endpoint": "/v1/chat/completions",
        "completion_window": "24h",
    }
    url = base + "/batches"
    async with fleet.session.post(url, json=body, headers=headers) as found:
        found.raise_for_status()
        return (await found.json())["id"]


async def finished_job(fleet: Fleet, organisation: str, job: str) -> dict:
    """Wait until a job has ended and return its state, read from the last host."""
    headers = bearer(fleet.keys[organisation])
    url = f"http://{fleet.hosts[-1].address}/v1/batches/{job}"
    while True:
        async with fleet.session.get(url, headers=headers) as found:
            state = await found.json()
        if state.get("status") in FINAL_STATUSES:
            return state
        await asyncio.sleep(JOB_POLL_SECONDS)


async def read_results(fleet: Fleet, organisation: str, file_id: str) -> list[dict]:
    """Return the lines of a job's output or error file, from the last host."""
    url = f"http://{fleet.hosts[-1].address}/v1/files/{file_id}/content"
    async with fleet.session.get(
        url, headers=bearer(fleet.keys[organisation])
    ) as found:
        found.raise_for_status()
        text = await found.text()
    return [json.loads(line) for line in text.splitlines()]
