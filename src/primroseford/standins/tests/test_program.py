from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

import aiohttp
import pytest

import primroseford
from primroseford.standins.program import main
from primroseford.standins.program import parse_settings

SOURCE = str(Path(primroseford.__file__).parents[1])
WAIT_SECONDS = 30


@pytest.fixture
async def run_stand_in():
    """Return a function that starts the program; it returns the process and its URL."""
    started = []

    async def start(kind: str, *arguments: str):
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "primroseford.standins"),
            *("--listen", "127.0.0.1:0", "--kind", kind, *arguments),
            stdout=asyncio.subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": SOURCE},
        )
        started.append(process)
        line = await asyncio.wait_for(process.stdout.readline(), WAIT_SECONDS)
        return process, line.decode().removeprefix("listening on ").strip()

    yield start
    for process in started:
        if process.returncode is None:
            process.kill()
        await process.wait()


@pytest.mark.parametrize(
    ("kind", "path", "fault", "status"),
    [
        ("platform", "/objects/pools", {"down": True}, 503),
        ("engine", "/v1/completions", {"refuse_status": 429}, 429),
        ("service", "/notes", {"refuse_status": 418}, 418),
    ],
)
async def test_faults_and_counts_of_a_process(run_stand_in, kind, path, fault, status):
    """Guards against control endpoints that do not set faults or count calls."""
    process, url = await run_stand_in(kind)
    async with aiohttp.ClientSession() as session:
        method = "GET" if kind == "platform" else "POST"
        async with session.request(method, url + path, json={}) as response:
            assert response.status == 200
        async with session.post(url + "/control/faults", json=fault) as response:
            assert fault.items() <= (await response.json()).items()
        async with session.request(method, url + path, json={}) as response:
            assert response.status == status
        async with session.get(url + "/control/counts") as response:
            counts = await response.json()
    expected = {
        "platform": ("calls", {"GET pools": 2}),
        "engine": ("requests", 1),
        "service": ("runs", {"/notes": 1}),
    }
    name, value = expected[kind]
    assert counts[name] == value
    process.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(process.wait(), WAIT_SECONDS) == 0


@pytest.mark.parametrize(
    "body", [b"[]", b"{", b'{"no_such": 1}', b'{"down": 1}', b'{"delay_seconds": "1"}']
)
async def test_malformed_faults_are_refused(platform, session, body):
    """Guards against a misspelt fault that is ignored, so that a test has no fault."""
    async with session.post(platform.url + "/control/faults", data=body) as response:
        assert response.status == 400
    assert not platform.faults.down


def test_engine_settings_are_checked():
    """Guards against misspelt engine settings that are ignored."""
    settings = parse_settings(["token_seconds=0.5", "checks_fencing=false"])
    assert (settings.token_seconds, settings.checks_fencing) == (0.5, False)
    for pair in ("token_second=1", "capacity=many", "checks_fencing"):
        with pytest.raises(ValueError):
            parse_settings([pair])


@pytest.mark.parametrize("listen", ["9000", "127.0.0.1", ":9000"])
def test_malformed_address_is_refused(listen):
    """Guards against a stand-in that listens on all addresses by mistake."""
    with pytest.raises(SystemExit):
        main(["--listen", listen, "--kind", "engine"])
