"""Second part of the demo: entry hosts as deployed on the users' platform."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import TYPE_CHECKING

import aiohttp

from primroseford.platform.job_calls import JOB_PATH
from primroseford.proof.site import Site
from primroseford.standins.fleet_objects import configuration
from primroseford.standins.platform import create_platform_application
from primroseford.standins.platform import create_platform_stand_in
from primroseford.standins.serving import serve

if TYPE_CHECKING:
    from primroseford.demo.checks import Checks

RUNNERS = 3
REQUESTS = 40
ITEMS = 20
EVENTS_PER_STREAM = 20
RESULTS_TIMEOUT_SECONDS = 20.0


async def run_entry_hosts(checks: Checks) -> None:
    """Check online requests, an interrupted stream and the takeover of a job.

    :param checks: records the results
    """
    print("starting 2 entry hosts and 3 runners on the platform's protocol", flush=True)
    platform = create_platform_stand_in()
    server = await serve(create_platform_application(platform))
    platform.url = server.url
    async with aiohttp.ClientSession() as session:
        site = Site(platform, session)
        try:
            site.put("config", "main", configuration())
            for number in range(RUNNERS):
                await site.add_runner(f"i-{number}", events=EVENTS_PER_STREAM)
            for _ in range(2):
                await site.add_host()
            await _run_checks(site, checks)
        finally:
            await site.stop()
            await server.stop()


async def _run_checks(site: Site, checks: Checks) -> None:
    statuses = [
        (await site.call("/ping/whole", f"ping-{n}", host=n % 2))[0]
        for n in range(REQUESTS)
    ]
    succeeded = statuses.count(200)
    checks.add(
        "requests through both entry hosts",
        succeeded == REQUESTS,
        f"{succeeded} served",
    )
    for runner in site.runners:
        runner.faults.cut_after, runner.faults.cuts = 3, 0
    site.runners[0].faults.cuts = 1
    streams = [await site.call("/pick/x", f"pick-{n}") for n in range(RUNNERS * 2)]
    complete = sum(body.count(b"data: ") == EVENTS_PER_STREAM for _, _, body in streams)
    checks.add(
        "an interrupted stream is resumed on another runner",
        complete == len(streams),
        f"{complete} of {len(streams)} complete",
    )
    await _check_takeover(site, checks)


async def _check_takeover(site: Site, checks: Checks) -> None:
    items = [
        {
            "id": f"item-{number}",
            "path": f"/notes/{number}",
            "headers": {},
            "body": base64.b64encode(b"prompt").decode(),
            "tokens": 10,
        }
        for number in range(ITEMS)
    ]
    for runner in site.runners:
        runner.event_seconds = 0.02
    body = json.dumps({"items": items}).encode()
    status, _, _ = await site.call("/notes/x", "demo-job", body=body)
    await site.until(lambda: any(runner.open for runner in site.runners))
    for service in site.hosts[0].services:
        await service.stop()
    results: list[dict] = []
    async with asyncio.timeout(RESULTS_TIMEOUT_SECONDS):
        while len(results) < ITEMS:
            path = f"{JOB_PATH}demo-job?after={len(results)}"
            response = await site.call(
                path, method="GET", host=1, body=b"", Wait_Ms="500"
            )
            results += json.loads(response[2])["results"]
    complete = sum(result["state"] == "complete" for result in results)
    checks.add(
        "a job is completed after its host is lost",
        status == 202 and complete == len({r["id"] for r in results}) == ITEMS,
        f"{complete} of {ITEMS} items complete",
    )
