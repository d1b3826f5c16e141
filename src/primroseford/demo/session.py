"""The demo: three hosts and the stand-ins on loopback, with checks."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

from primroseford.configuration.edits import drain_runner
from primroseford.configuration.edits import issue_key
from primroseford.configuration.edits import withdraw_key
from primroseford.demo.checks import Checks
from primroseford.demo.entry_hosts import run_entry_hosts
from primroseford.demo.fleet import running_fleet
from primroseford.demo.traffic import INVALID_ITEMS
from primroseford.demo.traffic import Caller
from primroseford.demo.traffic import bearer
from primroseford.demo.traffic import call_desk
from primroseford.demo.traffic import finished_job
from primroseford.demo.traffic import job_lines
from primroseford.demo.traffic import read_results
from primroseford.demo.traffic import submit_job
from primroseford.limits.service import RECOVERY_SECONDS
from primroseford.logs import configure_logging

if TYPE_CHECKING:
    from primroseford.demo.fleet import Fleet

ITEMS = 2_000
DESK_CALLS = 30
IN_FORCE_SECONDS = 5.0
LEAVING_SECONDS = 2.0
FLOOD_SECONDS = 2.0
FLOOD_MARGIN_SECONDS = 2.0
"""Time in which the owners of buckets may still change after the hosts are ready."""
FLOOD_ORGANISATION = "franchise-west"
FLOOD_RATE = 8.0
FLOOD_BURST = 16.0
POLL_SECONDS = 0.02


async def run_demo(items: int = ITEMS) -> int:
    """Run the demo.

    :param items: number of items of the batch job
    :returns: exit status, 0 only if every check held
    """
    configure_logging("error")
    checks = Checks()
    with tempfile.TemporaryDirectory() as folder:
        print("starting 3 hosts, 16 runners and the platform's service", flush=True)
        async with running_fleet(Path(folder)) as fleet:
            await run_session(fleet, checks, items)
    await run_entry_hosts(checks)
    held = checks.all_held()
    print("demo: ok" if held else "demo: failed")
    return 0 if held else 1


async def run_session(fleet: Fleet, checks: Checks, items: int) -> None:
    """Send all traffic, edit the tables meanwhile, and check what came of it."""
    callers = [
        Caller(fleet, "rounds-north", "van-round"),
        Caller(fleet, "rounds-south", "flavour-pick"),
        Caller(fleet, "workshop-main", "repair-notes"),
    ]
    stop, started = asyncio.Event(), time.monotonic()
    running = [asyncio.create_task(caller.run(stop)) for caller in callers]
    job = await submit_job(fleet, "night-batch", job_lines(items))
    print(f"online callers run; job of {items} items accepted", flush=True)
    await check_plain_calls(fleet, checks)
    await check_key_withdrawal(fleet, checks)
    await check_runner_leaves(fleet, checks)
    await check_job(fleet, checks, job, items)
    # Until a bucket's owner has settled, callers wait for tokens and are not refused.
    settled = started + RECOVERY_SECONDS + FLOOD_MARGIN_SECONDS
    await asyncio.sleep(max(0.0, settled - time.monotonic()))
    await check_flood(fleet, checks)
    stop.set()
    await asyncio.gather(*running)
    for caller in callers:
        others = sum(n for status, n in caller.statuses.items() if status != 200)
        checks.add(
            f"every online answer to {caller.organisation} is whole",
            caller.statuses[200] > 0 and not others and not caller.broken,
            f"{caller.statuses[200]} whole, {others} refused, {caller.broken} broken",
        )
    await check_status(fleet, checks)


async def check_plain_calls(fleet: Fleet, checks: Checks) -> None:
    """Check that calls that may not be repeated run once each."""
    statuses = await call_desk(fleet, DESK_CALLS)
    runs = Counter(
        {
            call: n
            for service in fleet.services.values()
            for call, n in service.runs.items()
        }
    )
    checks.add(
        "each call that may not be repeated ran once",
        statuses == {200: DESK_CALLS} and set(runs.values()) == {1},
        f"{statuses[200]} answered, {sum(runs.values())} runs",
    )


async def check_key_withdrawal(fleet: Fleet, checks: Checks) -> None:
    """Withdraw a key while traffic runs; all hosts must refuse it soon."""
    key = await issue_key(fleet.client, "festival-desk")
    await wait_for_status(fleet, key.secret, 200)
    started = time.monotonic()
    await withdraw_key(fleet.client, key.key_id)
    held = await wait_for_status(fleet, key.secret, 401)
    seconds = time.monotonic() - started
    checks.add(
        "a withdrawn key stops working on every host",
        held,
        f"after {seconds * 1000:.0f} ms",
    )


async def wait_for_status(fleet: Fleet, secret: str, status: int) -> bool:
    """Wait until every host answers a key with a status.

    :returns: whether they did within the time
    """
    try:
        async with asyncio.timeout(IN_FORCE_SECONDS):
            for host in fleet.hosts:
                url = f"http://{host.address}/v1/models"
                while True:
                    async with fleet.session.get(url, headers=bearer(secret)) as found:
                        if found.status == status:
                            break
                    await asyncio.sleep(POLL_SECONDS)
    except TimeoutError:
        return False
    return True


async def check_runner_leaves(fleet: Fleet, checks: Checks) -> None:
    """Mark a runner as leaving; it must get no new work after a few seconds."""
    names = [n for n in fleet.engines if n.startswith("van-round-")]
    # The runner with the most work shows best that work stops coming.
    name = max(names, key=lambda n: fleet.engines[n].state.run_counts.total())
    before = fleet.engines[name].state.run_counts.total()
    version = await drain_runner(fleet.client, "van-round", name)
    await wait_for_version(fleet, version)
    await asyncio.sleep(LEAVING_SECONDS)
    settled = fleet.engines[name].state.run_counts.total()
    await asyncio.sleep(LEAVING_SECONDS / 2)
    after = fleet.engines[name].state.run_counts.total()
    checks.add(
        "an edit is in force on every host, and the leaving runner gets nothing new",
        before > 0 and after == settled,
        f"version {version}, {after - settled} requests after {LEAVING_SECONDS:.0f} s",
    )


async def wait_for_version(fleet: Fleet, version: int) -> None:
    """Wait until every host has a version of the tables in force.

    :raises TimeoutError: if a host does not confirm
    """
    async with asyncio.timeout(IN_FORCE_SECONDS):
        url = f"http://{fleet.hosts[0].operator_address}/versions"
        while True:
            async with fleet.session.get(url) as found:
                seen = (await found.json()).values()
            if all(entry and entry["version"] >= version for entry in seen):
                return
            await asyncio.sleep(POLL_SECONDS)


async def check_flood(fleet: Fleet, checks: Checks) -> None:
    """Send several times an organisation's rate through all hosts at once."""
    caller = Caller(fleet, FLOOD_ORGANISATION, "van-round")
    started = time.monotonic()
    tasks = []
    while time.monotonic() - started < FLOOD_SECONDS:
        address = fleet.hosts[len(tasks) % len(fleet.hosts)].address
        tasks.append(asyncio.create_task(caller.send(address, len(tasks), False)))
        # Paced by schedule, since delays of a busy loop would lower the rate.
        due = started + len(tasks) / (5 * FLOOD_RATE)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    await asyncio.gather(*tasks)
    seconds = time.monotonic() - started
    allowed = FLOOD_RATE * seconds + FLOOD_BURST
    admitted = caller.statuses[200]
    # On a slow machine requests wait for tokens until the rate allows all of them.
    refused = caller.statuses[429] > 0 or allowed >= len(tasks)
    checks.add(
        "an organisation at 5 times its rate stays within rate and burst",
        0 < admitted <= allowed and refused,
        f"{admitted} of {len(tasks)} admitted, at most {allowed:.0f} allowed",
    )


async def check_job(fleet: Fleet, checks: Checks, job: str, items: int) -> None:
    """Wait for the job and read every item's result from another host."""
    state = await finished_job(fleet, "night-batch", job)
    done = await read_results(fleet, "night-batch", state["output_file_id"])
    failed = await read_results(fleet, "night-batch", state["error_file_id"])
    names = [line["custom_id"] for line in done]
    expected = [f"lot-{n}" for n in range(items) if n not in INVALID_ITEMS]
    checks.add(
        "each item of the job has one result, in order",
        state["status"] == "completed" and names == expected,
        f"{len(done)} results of {items} items",
    )
    faulty = [line["custom_id"] for line in failed]
    checks.add(
        "items that can never be done end with a code",
        faulty == [f"lot-{n}" for n in sorted(INVALID_ITEMS) if n < items],
        ", ".join(faulty),
    )


async def check_status(fleet: Fleet, checks: Checks) -> None:
    """Check what operators see: all hosts, and the platform's calls."""
    url = f"http://{fleet.hosts[0].operator_address}/status"
    async with fleet.session.get(url) as found:
        status = await found.json()
    names = [member["host"] for member in status["hosts"]]
    checks.add(
        "the status names every host",
        names == [host.settings.host for host in fleet.hosts] and status["ready"],
        ", ".join(names),
    )
