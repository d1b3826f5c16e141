"""Compares a complete session through a gateway host with a golden file."""

from __future__ import annotations

import base64
import json
import re
from pathlib import Path

GOLDEN = Path(__file__).parent / "golden" / "session.txt"
VARYING = {"Date", "Server", "Deadline-Ms", "Connection", "User-Agent"}
"""Headers whose values differ from run to run."""


def described(headers) -> list[str]:
    """Return headers as sorted lines, with varying values masked."""
    lines = []
    for name, value in headers.items():
        shown = "(varies)" if name in VARYING else value
        shown = re.sub(r"127\.0\.0\.\d+:\d+", "(address)", shown)
        lines.append(f"{name}: {shown}")
    return sorted(lines)


async def record(site, title: str, path: str, request_id: str, **fields) -> list[str]:
    """Send a request and return what the caller and the runners received."""
    before = [len(runner.received) for runner in site.runners]
    status, headers, body = await site.call(path, request_id, **fields)
    lines = [f"== {title}", f"caller: {status}", *described(headers), repr(body)]
    for runner, count in zip(site.runners, before, strict=True):
        for run in runner.received[count:]:
            lines += [f"runner {runner.name}: {run.method} {run.target}"]
            lines += [*described(run.headers), repr(run.body)]
    return [*lines, ""]


async def test_session_matches_the_golden_file(site):
    """Guards against unintended changes of the messages to callers and runners."""
    site.hosts[0].gateway.allocator.runners["i-2"].online = 5
    item = {
        "id": "item1",
        "path": "/notes/1?x=%20",
        "headers": {"Model": "m", "Token-Count": "10,20"},
        "body": base64.b64encode(b"prompt").decode(),
        "tokens": 30,
    }
    body = json.dumps({"items": [item]}).encode()
    lines = await record(site, "request", "/ping/whole%2F?a=b", "r1", Model="m")
    lines += await record(site, "stream", "/pick/x", "r2", Token_Count="10,5")
    lines += await record(site, "no route", "/absent/", "r3")
    lines += await record(site, "job", "/notes/x", "job1", body=body)
    await site.until(lambda: site.runners[0].received[-1].request_id == "item1")
    run = site.runners[0].received[-1]
    lines += [f"runner i-1: {run.method} {run.target}"]
    lines += [*described(run.headers), repr(run.body), ""]
    read = {"method": "GET", "body": b"", "Wait_Ms": "1000"}
    lines += await record(site, "results", "/lots/job1?after=0", "r4", **read)
    lines += await record(site, "body", "/items/job1?id=item1", "r5", **read)
    end = {"method": "DELETE", "body": b""}
    lines += await record(site, "end", "/lots/job1", "r6", **end)
    text = "\n".join(lines)
    assert text == GOLDEN.read_text()
