"""Hosts in front of a runner that says in its responses that it leaves."""

from __future__ import annotations

import base64
import json

import pytest

from primroseford.standins.fleet_objects import runner_entry

REQUESTS = 20
ITEMS = 12
NAME = "i-1"


async def send_until_received(site, path="/ping/whole") -> int:
    """Send requests to the first host until the leaving runner has got one.

    :returns: number of requests that the runner has received
    """
    runner = site.runners[0]
    before = len(runner.received)
    number = 0
    while len(runner.received) == before:
        assert (await site.call(path, f"first-{number}"))[0] == 200
        number += 1
    return len(runner.received)


async def send_all(site, path: str, host: int = 0) -> list[int]:
    """Send requests through a host; return the statuses of the responses."""
    return [
        (await site.call(path, f"later-{host}-{number}", host=host))[0]
        for number in range(REQUESTS)
    ]


def register_again(site, **changes) -> None:
    """Write the runner's entry to the list again after it was removed."""
    state = site.platform.state
    address = state.objects["servers"][NAME]["spec"]["address"]
    state.delete("servers", NAME, None)
    site.platform.announce()
    site.put("servers", NAME, runner_entry(address, **changes))


@pytest.mark.parametrize("path", ["/ping/whole", "/once/whole", "/nudge/x", "/pick/x"])
async def test_runner_that_says_it_leaves_gets_more_requests(site, path):
    """Guards against requests to a runner that leaves (DRAIN)."""
    site.runners[0].faults.leaving = "1"
    received = await send_until_received(site, path)
    assert await send_all(site, path) == [200] * REQUESTS
    assert len(site.runners[0].received) == received


async def test_other_hosts_send_requests_to_a_runner_that_leaves(site):
    """Guards against a notice that reaches only the host that hears it."""
    await site.add_host()
    site.runners[0].faults.leaving = "1"
    await send_until_received(site)
    allocator = site.hosts[1].gateway.allocator
    await site.until(lambda: len(allocator.pool_runners("models")) == 1)
    received = len(site.runners[0].received)
    assert await send_all(site, "/ping/whole", host=1) == [200] * REQUESTS
    assert len(site.runners[0].received) == received


async def test_items_start_on_a_runner_that_leaves(site):
    """Guards against batch items that start where they cannot end."""
    site.runners[0].faults.leaving = "1"
    received = await send_until_received(site)
    items = [
        {
            "id": f"it{number}",
            "path": f"/notes/it{number}",
            "headers": {"Model": "m"},
            "body": base64.b64encode(b"prompt").decode(),
            "tokens": 10,
        }
        for number in range(ITEMS)
    ]
    body = json.dumps({"items": items}).encode()
    assert (await site.call("/notes/x", "job1", body=body))[0] == 202
    await site.until(lambda: len(site.runners[1].received) >= ITEMS)
    assert len(site.runners[0].received) == received


@pytest.mark.parametrize(
    ("born", "used"), [(1_700_000_000_000, False), (1_700_000_000_001, True)]
)
async def test_leaving_runner_is_listed_again(site, born, used):
    """Guards against the use of a runner that still leaves, whose entry had expired.

    A runner that was started again under the same name must be used.
    """
    site.runners[0].faults.leaving = "1"
    received = await send_until_received(site)
    site.runners[0].faults.leaving = ""
    register_again(site, born=born)
    allocator = site.hosts[0].gateway.allocator
    await site.until(
        lambda: (
            NAME in allocator.runners and allocator.runners[NAME].entry.key.born == born
        )
    )
    assert await send_all(site, "/ping/whole") == [200] * REQUESTS
    assert (len(site.runners[0].received) > received) is used


@pytest.mark.parametrize("value", ["0", "", "yes", "2"])
async def test_other_values_count_as_leaving(site, value):
    """Guards against a runner that is lost to its pool by an unknown value."""
    site.runners[0].faults.leaving = value
    received = await send_until_received(site)
    assert await send_all(site, "/ping/whole") == [200] * REQUESTS
    assert len(site.runners[0].received) > received
