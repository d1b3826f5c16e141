"""The demo: three hosts and the stand-ins on loopback, with checks."""

from __future__ import annotations

import tempfile
from pathlib import Path

import aiohttp

from primroseford.daemon.host import create_host
from primroseford.daemon.host import wait_until_ready
from primroseford.daemon.settings import check_settings
from primroseford.keys.secrets import create_key
from primroseford.logs import configure_logging
from primroseford.standins.engine import create_engine_stand_in
from primroseford.standins.engine_http import create_engine_application
from primroseford.standins.platform import create_platform_application
from primroseford.standins.platform import create_platform_stand_in
from primroseford.standins.serving import serve

HOSTS = 3


def host_settings(number: int, platform_url: str, secret_file: Path):
    """Return the settings of one demo host."""
    return check_settings(
        {
            "host": f"host-{number}",
            "failure_domain": f"domain-{number}",
            "listen": "127.0.0.1:0",
            "operator_listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "platform": platform_url,
            "peer_secret_file": str(secret_file),
            "log_level": "error",
            "stop": {"balancer_lag": 0},
        }
    )


async def run_demo() -> int:
    """Run the demo.

    :returns: exit status, 0 only if every check held
    """
    configure_logging("error")
    platform = create_platform_stand_in()
    platform_served = await serve(create_platform_application(platform))
    engine = create_engine_stand_in()
    engine_served = await serve(create_engine_application(engine))
    key = create_key()
    objects = [
        ("organisations", "depot", {"rate": 100, "burst": 100}),
        ("keys", key.key_id, {"organisation": "depot", "hash": key.hash}),
        (
            "pools",
            "van-round",
            {
                "runners": [
                    {
                        "name": "runner-1",
                        "address": engine_served.url.removeprefix("http://"),
                        "failure_domain": "domain-0",
                    }
                ]
            },
        ),
        (
            "routes",
            "van-round",
            {
                "match": {"models": ["van-round"]},
                "pool": "van-round",
                "organisations": ["depot"],
            },
        ),
    ]
    for kind, name, spec in objects:
        platform.state.create(kind, {"metadata": {"name": name}, "spec": spec})
    platform.announce()
    with tempfile.TemporaryDirectory() as folder:
        secret_file = Path(folder) / "peer-secret"
        secret_file.write_text("demo-secret-" * 4)
        hosts = [
            create_host(host_settings(n, platform_served.url, secret_file))
            for n in range(HOSTS)
        ]
        for host in hosts:
            await host.start()
        held = await check_hosts(hosts, key.secret)
        for host in hosts:
            await host.stop()
    await engine_served.stop()
    await platform_served.stop()
    print("demo: ok" if held else "demo: failed")
    return 0 if held else 1


async def check_hosts(hosts, secret: str) -> bool:
    """Send one request through each host and compare the answers."""
    held = True
    body = {"model": "van-round", "messages": [{"role": "user", "content": "next"}]}
    async with aiohttp.ClientSession() as session:
        for host in hosts:
            await wait_until_ready(host)
            url = f"http://{host.address}/v1/chat/completions"
            headers = {"Authorization": f"Bearer {secret}"}
            async with session.post(url, json=body, headers=headers) as answer:
                content = await answer.json()
                print(f"{host.settings.host}: {answer.status}")
                held &= answer.status == 200 and len(content["choices"]) == 1
            async with session.post(url, json=body) as answer:
                held &= answer.status == 401
    return held
