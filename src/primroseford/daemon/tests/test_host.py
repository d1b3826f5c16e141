from __future__ import annotations

import asyncio

import pytest

from primroseford.daemon.host import create_host
from primroseford.daemon.host import wait_until_ready
from primroseford.daemon.main import EXIT_SETTINGS
from primroseford.daemon.main import EXIT_START
from primroseford.daemon.main import main
from primroseford.daemon.settings import check_settings

STOP_SECONDS = 30.0


def document(tmp_path, platform_url: str) -> dict:
    """Return the settings of a host on ports that the kernel chooses."""
    secret = tmp_path / "peer-secret"
    secret.write_text("a-secret-of-the-tests-" * 2)
    secret.chmod(0o600)
    return {
        "host": "host-1",
        "failure_domain": "domain-a",
        "listen": "127.0.0.1:0",
        "operator_listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "platform": platform_url,
        "peer_secret_file": str(secret),
        "stop": {"balancer_lag": 0},
    }


@pytest.mark.parametrize("down", [False, True])
async def test_graceful_stop_ends(tmp_path, platform, down):
    """Guards against a stop that hangs, for example while the platform is down."""
    platform.state.create("organisations", organisation("depot"))
    host = create_host(check_settings(document(tmp_path, platform.url)))
    await host.start()
    await wait_until_ready(host)
    platform.faults.down = down
    platform.announce()
    async with asyncio.timeout(STOP_SECONDS):
        await host.stop_gracefully()


def organisation(name: str) -> dict:
    """Return the stored form of an organisation."""
    return {"metadata": {"name": name}, "spec": {"rate": 10, "burst": 10}}


@pytest.mark.parametrize(
    ("change", "status", "text"),
    [
        ({"peer_secret_file": "/nowhere/secret"}, EXIT_SETTINGS, "secret"),
        ({"listen": "192.0.2.1:80"}, EXIT_START, "cannot start"),
        ({"peer_listen": "192.0.2.1:80"}, EXIT_START, "cannot start"),
    ],
)
def test_start_that_fails_is_reported(tmp_path, capsys, change, status, text):
    """Guards against a traceback in place of a sentence when a host can't start."""
    path = tmp_path / "settings.yaml"
    settings = document(tmp_path, "http://127.0.0.1:9") | change
    path.write_text("\n".join(f"{k}: {v}" for k, v in settings.items()))
    assert main(["--settings", str(path)]) == status
    assert text in capsys.readouterr().err
