"""The demo's session: traffic and edits against three hosts, with checks."""

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
from primroseford.demo.traffic import call_dispatch_service
from primroseford.demo.traffic import job_lines
from primroseford.demo.traffic import read_results
from primroseford.demo.traffic import submit_job
from primroseford.demo.traffic import wait_for_job
from primroseford.limits.service import RECOVERY_SECONDS
from primroseford.logs import configure_logging

if TYPE_CHECKING:
    from primroseford.demo.fleet import Fleet

ITEMS = 2_000
DISPATCH_CALLS = 30
IN_FORCE_TIMEOUT_SECONDS = 5.0
DRAIN_SECONDS = 2.0
OVERLOAD_SECONDS = 2.0
OWNER_CHANGE_MARGIN_SECONDS = 2.0
"""Time after the start in which the owners of buckets may still change."""
OVERLOAD_ORGANISATION = "franchise-west"
OVERLOAD_RATE = 8.0
OVERLOAD_BURST = 16.0
POLL_SECONDS = 0.02


async def run_demo(items: int = ITEMS) -> int:
    """Run the demo.

    :param items: number of items of the batch job
    :returns: exit code, 0 only if every check passed
    """
    configure_logging("error")
    checks = Checks()
    with tempfile.TemporaryDirectory() as folder:
        print("starting 3 hosts, 16 runners and the platform's service", flush=True)
        async with running_fleet(Path(folder)) as fleet:
            await run_session(fleet, checks, items)
    await run_entry_hosts(checks)
    passed = checks.all_passed()
    print("demo: ok" if passed else "demo: failed")
    return 0 if passed else 1


async def run_session(fleet: Fleet, checks: Checks, items: int) -> None:
    """Send online and batch traffic, edit the tables meanwhile, and run the checks."""
    callers = [
        Caller(fleet, "rounds-north", "van-round"),
        Caller(fleet, "rounds-south", "flavour-pick"),
        Caller(fleet, "workshop-main", "repair-notes"),
    ]
    stop, started_at = asyncio.Event(), time.monotonic()
    caller_tasks = [asyncio.create_task(caller.run(stop)) for caller in callers]
    job = await submit_job(fleet, "night-batch", job_lines(items))
    print(f"online callers started; job of {items} items accepted", flush=True)
    await check_non_repeatable_calls(fleet, checks)
    await check_key_withdrawal(fleet, checks)
    await check_runner_drain(fleet, checks)
    await check_job(fleet, checks, job, items)
    # While the owner of a bucket may change, requests wait for tokens and are not
    # refused, so the check of the rate limit would fail.
    owners_settled_at = started_at + RECOVERY_SECONDS + OWNER_CHANGE_MARGIN_SECONDS
    await asyncio.sleep(max(0.0, owners_settled_at - time.monotonic()))
    await check_rate_limit(fleet, checks)
    stop.set()
    await asyncio.gather(*caller_tasks)
    for caller in callers:
        failures = sum(n for status, n in caller.statuses.items() if status != 200)
        checks.add(
            f"every online response to {caller.organisation} is complete",
            caller.statuses[200] > 0 and not failures and not caller.incomplete,
            f"{caller.statuses[200]} complete, {failures} refused, "
            f"{caller.incomplete} incomplete",
        )
    await check_status(fleet, checks)


async def check_non_repeatable_calls(fleet: Fleet, checks: Checks) -> None:
    """Check that non-repeatable calls run once each."""
    statuses = await call_dispatch_service(fleet, DISPATCH_CALLS)
    runs = Counter(
        {
            call: n
            for service in fleet.services.values()
            for call, n in service.runs.items()
        }
    )
    checks.add(
        "each non-repeatable call ran once",
        statuses == {200: DISPATCH_CALLS} and set(runs.values()) == {1},
        f"{statuses[200]} answered, {sum(runs.values())} runs",
    )


async def check_key_withdrawal(fleet: Fleet, checks: Checks) -> None:
    """Withdraw a key during traffic; all hosts must refuse it within the timeout."""
    key = await issue_key(fleet.client, "festival-desk")
    await wait_for_status(fleet, key.secret, 200)
    started_at = time.monotonic()
    await withdraw_key(fleet.client, key.key_id)
    passed = await wait_for_status(fleet, key.secret, 401)
    seconds = time.monotonic() - started_at
    checks.add(
        "a withdrawn key is refused on every host",
        passed,
        f"after {seconds * 1000:.0f} ms",
    )


async def wait_for_status(fleet: Fleet, secret: str, status: int) -> bool:
    """Poll every host with a key until it responds with a given status.

    :returns: whether all hosts did so within the timeout
    """
    try:
        async with asyncio.timeout(IN_FORCE_TIMEOUT_SECONDS):
            for host in fleet.hosts:
                url = f"http://{host.address}/v1/models"
                while True:
                    async with fleet.session.get(
                        url, headers=bearer(secret)
                    ) as response:
                        if response.status == status:
                            break
                    await asyncio.sleep(POLL_SECONDS)
    except TimeoutError:
        return False
    return True


async def check_runner_drain(fleet: Fleet, checks: Checks) -> None:
    """Drain a runner; it must receive no new requests once the edit is in force."""
    names = [n for n in fleet.engines if n.startswith("van-round-")]
    # The busiest runner, which without the drain would most certainly get requests.
    name = max(names, key=lambda n: fleet.engines[n].state.run_counts.total())
    before = fleet.engines[name].state.run_counts.total()
    version = await drain_runner(fleet.client, "van-round", name)
    await wait_for_version(fleet, version)
    await asyncio.sleep(DRAIN_SECONDS)
    after_drain = fleet.engines[name].state.run_counts.total()
    await asyncio.sleep(DRAIN_SECONDS / 2)
    later = fleet.engines[name].state.run_counts.total()
    checks.add(
        "an edit is in force on every host, and the drained runner gets no requests",
        before > 0 and later == after_drain,
        f"version {version}, "
        f"{later - after_drain} requests after {DRAIN_SECONDS:.0f} s",
    )


async def wait_for_version(fleet: Fleet, version: int) -> None:
    """Wait until a version of the tables is in force on every host.

    :raises TimeoutError: if a host does not confirm the version
    """
    async with asyncio.timeout(IN_FORCE_TIMEOUT_SECONDS):
        url = f"http://{fleet.hosts[0].operator_address}/versions"
        while True:
            async with fleet.session.get(url) as response:
                versions = (await response.json()).values()
            if all(entry and entry["version"] >= version for entry in versions):
                return
            await asyncio.sleep(POLL_SECONDS)


async def check_rate_limit(fleet: Fleet, checks: Checks) -> None:
    """Send five times an organisation's rate through all hosts.

    The admitted requests must stay within the organisation's rate and burst.
    """
    caller = Caller(fleet, OVERLOAD_ORGANISATION, "van-round")
    started_at = time.monotonic()
    tasks = []
    while time.monotonic() - started_at < OVERLOAD_SECONDS:
        address = fleet.hosts[len(tasks) % len(fleet.hosts)].address
        tasks.append(asyncio.create_task(caller.send(address, len(tasks), False)))
        # Sent by schedule: with a fixed pause, a busy event loop would lower the rate.
        send_at = started_at + len(tasks) / (5 * OVERLOAD_RATE)
        await asyncio.sleep(max(0.0, send_at - time.monotonic()))
    await asyncio.gather(*tasks)
    seconds = time.monotonic() - started_at
    allowed = OVERLOAD_RATE * seconds + OVERLOAD_BURST
    admitted = caller.statuses[200]
    # On a slow machine the requests take so long that the rate allows all of them.
    limit_applied = caller.statuses[429] > 0 or allowed >= len(tasks)
    checks.add(
        "an organisation at 5 times its rate stays within rate and burst",
        0 < admitted <= allowed and limit_applied,
        f"{admitted} of {len(tasks)} admitted, at most {allowed:.0f} allowed",
    )


async def check_job(fleet: Fleet, checks: Checks, job: str, items: int) -> None:
    """Wait for the job and check the results, read from another host."""
    state = await wait_for_job(fleet, "night-batch", job)
    results = await read_results(fleet, "night-batch", state["output_file_id"])
    errors = await read_results(fleet, "night-batch", state["error_file_id"])
    completed_ids = [line["custom_id"] for line in results]
    expected_ids = [f"lot-{n}" for n in range(items) if n not in INVALID_ITEMS]
    checks.add(
        "each item of the job has one result, in order",
        state["status"] == "completed" and completed_ids == expected_ids,
        f"{len(results)} results of {items} items",
    )
    failed_ids = [line["custom_id"] for line in errors]
    checks.add(
        "invalid items fail with a result code",
        failed_ids == [f"lot-{n}" for n in sorted(INVALID_ITEMS) if n < items],
        ", ".join(failed_ids),
    )


async def check_status(fleet: Fleet, checks: Checks) -> None:
    """Check that the operators' status lists all hosts."""
    url = f"http://{fleet.hosts[0].operator_address}/status"
    async with fleet.session.get(url) as response:
        status = await response.json()
    names = [member["host"] for member in status["hosts"]]
    checks.add(
        "the status lists every host",
        names == [host.settings.host for host in fleet.hosts] and status["ready"],
        ", ".join(names),
    )
