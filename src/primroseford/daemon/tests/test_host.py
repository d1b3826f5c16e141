from __future__ import annotations

import asyncio

import pytest

from primroseford.daemon.host import create_host
from primroseford.daemon.host import wait_until_ready
from primroseford.daemon.main import EXIT_SETTINGS_INVALID
from primroseford.daemon.main import EXIT_START_FAILED
from primroseford.daemon.main import main
from primroseford.daemon.settings import check_settings

STOP_SECONDS = 30.0


def host_document(tmp_path, platform_url: str) -> dict:
    """Return a settings document with ports that the kernel chooses."""
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


@pytest.mark.parametrize("platform_down", [False, True])
async def test_graceful_stop_completes(tmp_path, platform, platform_down):
    """Guards against a stop that hangs, for example while the platform is down."""
    platform.state.create("organisations", organisation("depot"))
    host = create_host(check_settings(host_document(tmp_path, platform.url)))
    await host.start()
    await wait_until_ready(host)
    platform.faults.down = platform_down
    platform.announce()
    async with asyncio.timeout(STOP_SECONDS):
        await host.stop_gracefully()


def organisation(name: str) -> dict:
    """Return the stored form of an organisation."""
    return {"metadata": {"name": name}, "spec": {"rate": 10, "burst": 10}}


@pytest.mark.parametrize(
    ("change", "status", "message_part"),
    [
        ({"peer_secret_file": "/nowhere/secret"}, EXIT_SETTINGS_INVALID, "secret"),
        ({"listen": "192.0.2.1:80"}, EXIT_START_FAILED, "cannot start"),
        ({"peer_listen": "192.0.2.1:80"}, EXIT_START_FAILED, "cannot start"),
    ],
)
def test_failed_start_is_reported(tmp_path, capsys, change, status, message_part):
    """Guards against a traceback instead of an error message when a start fails."""
    path = tmp_path / "settings.yaml"
    settings = host_document(tmp_path, "http://127.0.0.1:9") | change
    path.write_text("\n".join(f"{k}: {v}" for k, v in settings.items()))
    assert main(["--settings", str(path)]) == status
    assert message_part in capsys.readouterr().err
