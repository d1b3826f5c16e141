"""A batch job is ended, and the host that has acknowledged the end is killed."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

import fleet as small  # noqa: E402

HOSTS = 7
ITEMS = 180
CANCEL_SECONDS = 3.0
RESTART_SECONDS = 1.0


async def trial(fleet, record, runner, number: int) -> int:
    """End a job at one host and count the items that reach the runner too late."""
    ending = fleet.hosts[number]
    accepting = fleet.hosts[(number + 1) % HOSTS]
    job = small.new_id()
    body = small.batch(job, ITEMS, 300)
    status, _ = await fleet.call(
        accepting, "POST", f"/notes/{job}", body, Request_Id=job
    )
    record.note(f"job {job} submitted at {accepting.name}: {status}")
    if status != 202:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(5.0)
    status, _ = await fleet.call(ending, "DELETE", f"/lots/{job}")
    ended = time.monotonic()
    record.note(f"end of job {job} at {ending.name}: {status}")
    if status != 200:
        raise RuntimeError("the end was not acknowledged")
    if small.trouble():
        await ending.kill()
        record.note(f"{ending.name} killed")
        await asyncio.sleep(RESTART_SECONDS)
        await ending.start()
        record.note(f"{ending.name} started again")
    await asyncio.sleep(ended + CANCEL_SECONDS + 2.0 - time.monotonic())
    late = [
        (request_id, at - ended)
        for request_id, at, _ in runner.runs
        if request_id.startswith(job) and at - ended > CANCEL_SECONDS
    ]
    for request_id, seconds in late:
        record.note(f"item {request_id} ran {seconds:.3f} s after the end")
    await fleet.wait_ready(ending)
    return len(late)


async def case() -> int:
    record = small.Record(FOLDER)
    fleet = small.Fleet()
    beat = asyncio.create_task(fleet.beat())
    try:
        await fleet.start(HOSTS, small.configuration())
        runner = await fleet.add_runner("i-1", 4, 10, 0.02)
        await fleet.start_hosts()
        late = [await trial(fleet, record, runner, n) for n in range(HOSTS)]
        record.note(f"late items by ending host: {late}")
        return small.BROKEN if any(late) else small.HELD
    finally:
        beat.cancel()
        await fleet.stop()


small.main(case)
