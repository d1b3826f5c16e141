"""Hosts in front of runners that crash on a part of the prompt."""

from __future__ import annotations

import asyncio
import base64
import json

import aiohttp
import pytest

DEADLY = "deadly"
DEADLY_BODY = b"deadly body"
HOSTS = 3
RUNNERS = 4
RESTART_SECONDS = 0.3
"""Time until a crashed runner is back, under a new name."""
CAUSE_SECONDS = 0.4
"""Time between two crashes that are not at the same moment."""
CRASHES_TO_LEARN = 5
REQUEST_CRASHES_TO_LEARN = 3
CONTACT_SECONDS = 3.0
ALLOWED_REQUESTS = 3
"""Requests that may reach a runner later than the contact time after the fifth crash:
bound of the platform's rules."""


class CrashSite:
    """A site whose runners crash on the deadly part and are started again.

    :ivar crashes: number of crashes so far
    """

    def __init__(self, site) -> None:
        self.site = site
        self.crashes = 0
        self.restarts: set[asyncio.Task] = set()
        for runner in site.runners:
            self.arm(runner)

    def arm(self, runner) -> None:
        """Let a runner crash on the deadly part."""
        runner.faults.deadly_part = DEADLY
        runner.faults.deadly_body = DEADLY_BODY
        runner.on_crash = self.record_crash

    def record_crash(self, runner) -> None:
        """Count a crash and start the runner again after a delay."""
        self.crashes += 1
        task = asyncio.create_task(self._restart(runner.name))
        self.restarts.add(task)
        task.add_done_callback(self.restarts.discard)

    async def _restart(self, name: str) -> None:
        await asyncio.sleep(RESTART_SECONDS)
        self.site.platform.state.delete("servers", name, None)
        self.arm(await self.site.add_runner(f"{name}-{self.crashes}"))

    def deadly_requests(self) -> int:
        """Return how many requests with the deadly part have reached runners."""
        return sum(
            DEADLY in request.headers.get("Prompt-Prefix", "")
            for runner in self.site.runners
            for request in runner.received
        )

    def deadly_bodies(self) -> int:
        """Return how many requests with the deadly body have reached runners."""
        return sum(
            request.body == DEADLY_BODY
            for runner in self.site.runners
            for request in runner.received
        )

    async def repeat(self, path: str, number: int, **headers: str) -> int | type:
        """Send the deadly request again, with another id and through another host."""
        try:
            status, _, _ = await self.site.call(
                path, f"id-{number}", host=number % HOSTS, body=DEADLY_BODY, **headers
            )
        except (aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError) as error:
            return type(error)
        return status

    async def call(self, path: str, number: int, *parts: str) -> int | type:
        """Send a request of its own through one of the hosts in turn."""
        prompt = ",".join(f"{part}:100" for part in (*parts, f"own-{number}"))
        try:
            status, _, _ = await self.site.call(
                path, f"id-{number}", host=number % HOSTS, Prompt_Prefix=prompt
            )
        except (aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError) as error:
            return type(error)
        return status


@pytest.fixture
async def crash_site(site):
    """A site of three hosts and four runners that crash on the deadly part."""
    for number in range(2, RUNNERS):
        await site.add_runner(f"r-{number}")
    for _ in range(HOSTS - 1):
        await site.add_host()
    for host in site.hosts:
        await site.until(
            lambda host=host: len(host.gateway.allocator.runners) == RUNNERS
        )
    crash_site = CrashSite(site)
    yield crash_site
    for task in crash_site.restarts:
        task.cancel()


async def crash_runners(crash_site, path: str, parts: tuple[str, ...]) -> int:
    """Send deadly requests until five runners have crashed or all hosts refuse them.

    Sound requests with the other parts are served between the crashes.

    :returns: number of requests sent
    """
    number = 0
    sound = tuple(part for part in parts if part != DEADLY)
    while crash_site.crashes < CRASHES_TO_LEARN and number < 20 * CRASHES_TO_LEARN:
        await crash_site.call(path, number, *parts)
        number += 1
        if all(host.gateway.quarantine.active() for host in crash_site.site.hosts):
            break
        await asyncio.sleep(CAUSE_SECONDS)
        await crash_site.call(path, number, *sound)
        number += 1
    return number


@pytest.mark.parametrize(
    ("path", "parts"),
    [
        ("/nudge/x", ("a", "b", DEADLY)),
        ("/nudge/x", (DEADLY, "b")),
        ("/pick/x", ("a", DEADLY, "b")),
    ],
    ids=["middle-part", "first-part", "resumable"],
)
async def test_requests_with_one_prompt_part_crash_runner_after_runner(
    crash_site, path, parts
):
    """Guards against a prompt part that crashes runners without end (BUDGET)."""
    number = await crash_runners(crash_site, path, parts)
    await asyncio.sleep(CONTACT_SECONDS)
    reached = crash_site.deadly_requests()
    for _ in range(4 * HOSTS):
        await crash_site.call(path, number, *parts)
        number += 1
    assert crash_site.deadly_requests() - reached <= ALLOWED_REQUESTS
    sound = [part for part in parts if part != DEADLY]
    results = [
        await crash_site.call(path, number + more, *sound) for more in range(2 * HOSTS)
    ]
    assert results == [200] * len(results)


async def test_batch_item_crashes_runner_after_runner(crash_site):
    """Guards against a batch item that is run again after each crash (BUDGET)."""
    item = {
        "id": "it0",
        "path": "/notes/it0",
        "headers": {"Model": "m", "Prompt-Prefix": f"a:100,{DEADLY}:100,own:100"},
        "body": base64.b64encode(b"prompt").decode(),
        "tokens": 10,
    }
    body = json.dumps({"items": [item]}).encode()
    status, _, _ = await crash_site.site.call("/notes/x", "job1", body=body)
    assert status == 202
    await crash_site.site.until(lambda: crash_site.crashes >= 1)
    await asyncio.sleep(2 * CONTACT_SECONDS)
    assert crash_site.deadly_requests() <= CRASHES_TO_LEARN + ALLOWED_REQUESTS


@pytest.mark.parametrize(
    ("path", "prompt"),
    [
        ("/ping/whole", {}),
        ("/pick/x", {"Prompt_Prefix": "a:100,b:100,own:100"}),
        ("/nudge/x", {"Prompt_Prefix": "a:100,b:100,own:100"}),
        ("/once/whole", {}),
    ],
    ids=["idempotent", "resumable", "stream", "unsafe"],
)
async def test_repeated_request_crashes_runner_after_runner(crash_site, path, prompt):
    """Guards against one request that comes again under other ids (BUDGET)."""
    number = 0
    while crash_site.crashes < REQUEST_CRASHES_TO_LEARN and number < 20:
        await crash_site.repeat(path, number, **prompt)
        number += 1
        await asyncio.sleep(CAUSE_SECONDS)
        await crash_site.call(path, 1000 + number, "a", "b")
    await asyncio.sleep(CONTACT_SECONDS)
    reached = crash_site.deadly_bodies()
    for _ in range(4 * HOSTS):
        await crash_site.repeat(path, number, **prompt)
        number += 1
        await asyncio.sleep(RESTART_SECONDS)
    assert crash_site.deadly_bodies() - reached <= ALLOWED_REQUESTS
    results = [
        await crash_site.call(path, 2000 + more, "a", "b") for more in range(2 * HOSTS)
    ]
    assert results == [200] * len(results)


async def test_sound_request_is_quarantined_after_unrelated_crashes(crash_site):
    """Guards against a verdict on a request that is served between the crashes."""
    path = "/ping/whole"
    for number in range(6):
        for runner in crash_site.site.runners:
            runner.faults.deadly_body = b"prompt" if number % 2 else b""
        await crash_site.call(path, number)
        await asyncio.sleep(CAUSE_SECONDS)
        for runner in crash_site.site.runners:
            runner.faults.deadly_body = b""
        assert await crash_site.call(path, 100 + number) == 200
    assert crash_site.crashes >= REQUEST_CRASHES_TO_LEARN
    for host in crash_site.site.hosts:
        assert not host.gateway.quarantine.active()
