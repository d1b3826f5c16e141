"""Traffic of the demo: online requests, non-repeatable calls and a batch job."""

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

DONE_EVENT = b"data: [DONE]\n\n"
REQUEST_INTERVAL_SECONDS = 0.05
JOB_POLL_SECONDS = 0.2
INVALID_ITEMS = frozenset({500, 1500})
INVALID_PROMPT = "cannot-be-done"
FINAL_STATUSES = frozenset({"completed", "failed", "expired", "cancelled"})


@dataclass
class Caller:
    """Online caller of one organisation, which uses all hosts in turn.

    :param statuses: number of responses by HTTP status
    :param incomplete: number of incomplete responses and broken connections
    """

    fleet: Fleet
    organisation: str
    model: str
    statuses: Counter[int] = field(default_factory=Counter)
    incomplete: int = 0

    async def run(self, stop: asyncio.Event) -> None:
        """Send non-streaming and streaming requests in turn until ``stop`` is set."""
        hosts = itertools.cycle(self.fleet.hosts)
        for number in itertools.count():
            if stop.is_set():
                return
            await self.send(next(hosts).address, number, number % 2 == 1)
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)

    async def send(self, address: str, number: int, stream: bool) -> None:
        """Send one request and check that the response is complete."""
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
            ) as response:
                content = await response.read()
        except aiohttp.ClientError:
            self.incomplete += 1
            return
        self.statuses[response.status] += 1
        if response.status == 200 and not is_complete(content, stream):
            self.incomplete += 1


def is_complete(content: bytes, stream: bool) -> bool:
    """Return whether the response to a chat request is complete.

    :param content: body of the response
    :param stream: whether the response was streamed
    """
    if stream:
        return content.endswith(DONE_EVENT) and content.count(b"data: ") == 9
    return len(json.loads(content)["choices"][0]["message"]["content"].split()) == 8


def bearer(secret: str) -> dict[str, str]:
    """Return the request header with a key."""
    return {"Authorization": f"Bearer {secret}"}


async def call_dispatch_service(fleet: Fleet, count: int) -> Counter[int]:
    """Send non-repeatable calls to the dispatch service.

    :returns: number of responses by HTTP status
    """
    statuses: Counter[int] = Counter()
    for number in range(count):
        host = fleet.hosts[number % len(fleet.hosts)]
        headers = bearer(fleet.keys["rounds-north"]) | {"X-Call": f"call-{number}"}
        url = f"http://{host.address}/dispatch/flags"
        async with fleet.session.post(url, data=b"{}", headers=headers) as response:
            await response.read()
            statuses[response.status] += 1
    return statuses


def job_lines(count: int) -> bytes:
    """Return the input file of a job; the items in ``INVALID_ITEMS`` always fail."""
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
    """Upload a file and create a job from it through the first host.

    :returns: id of the job
    """
    headers = bearer(fleet.keys[organisation])
    base = f"http://{fleet.hosts[0].address}/v1"
    form = aiohttp.FormData()
    form.add_field("purpose", "batch")
    form.add_field("file", content, filename="lots.jsonl")
    async with fleet.session.post(
        base + "/files", data=form, headers=headers
    ) as response:
        response.raise_for_status()
        file_id = (await response.json())["id"]
    body = {
        "input_file_id": file_id,
        "endpoint": "/v1/chat/completions",
        "completion_window": "24h",
    }
    url = base + "/batches"
    async with fleet.session.post(url, json=body, headers=headers) as response:
        response.raise_for_status()
        return (await response.json())["id"]


async def wait_for_job(fleet: Fleet, organisation: str, job: str) -> dict:
    """Poll a job at the last host until it has ended, and return its state."""
    headers = bearer(fleet.keys[organisation])
    url = f"http://{fleet.hosts[-1].address}/v1/batches/{job}"
    while True:
        async with fleet.session.get(url, headers=headers) as response:
            state = await response.json()
        if state.get("status") in FINAL_STATUSES:
            return state
        await asyncio.sleep(JOB_POLL_SECONDS)


async def read_results(fleet: Fleet, organisation: str, file_id: str) -> list[dict]:
    """Return the lines of a job's output or error file, from the last host."""
    url = f"http://{fleet.hosts[-1].address}/v1/files/{file_id}/content"
    async with fleet.session.get(
        url, headers=bearer(fleet.keys[organisation])
    ) as response:
        response.raise_for_status()
        text = await response.text()
    return [json.loads(line) for line in text.splitlines()]
