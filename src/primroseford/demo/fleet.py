"""The demo's fleet: hosts and stand-ins on loopback, with the examples' tables."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
import yaml

from primroseford.configuration.apply import apply_plan
from primroseford.configuration.apply import plan_changes
from primroseford.configuration.apply import read_platform
from primroseford.configuration.check import read_tables
from primroseford.configuration.edits import issue_key
from primroseford.daemon.host import create_host
from primroseford.daemon.host import wait_until_ready
from primroseford.daemon.settings import check_settings
from primroseford.platform.client import create_platform_client
from primroseford.standins.engine import create_engine_stand_in
from primroseford.standins.engine_http import create_engine_application
from primroseford.standins.engine_state import EngineSettings
from primroseford.standins.platform import create_platform_application
from primroseford.standins.platform import create_platform_stand_in
from primroseford.standins.service import ServiceStandIn
from primroseford.standins.service import create_service_application
from primroseford.standins.serving import serve

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from primroseford.daemon.host import Host
    from primroseford.daemon.settings import Settings
    from primroseford.platform.client import PlatformClient
    from primroseford.standins.engine import EngineStandIn
    from primroseford.standins.platform import PlatformStandIn

HOSTS = 3
EXAMPLES = Path(__file__).parents[3] / "examples"
SECRET = "only-for-the-demo-" * 3
ENGINE_CAPACITY = 16


@dataclass
class Fleet:
    """The processes and clients of the demo.

    :param engines: stand-ins of model engines by runner name
    :param services: stand-ins of plain services by runner name
    :param keys: secret of one key by organisation
    """

    platform: PlatformStandIn
    client: PlatformClient
    session: aiohttp.ClientSession
    hosts: list[Host]
    engines: dict[str, EngineStandIn]
    services: dict[str, ServiceStandIn]
    keys: dict[str, str]


def read_example(deployment: str) -> list[dict]:
    """Return the table documents of an example deployment."""
    return [
        document
        for path in sorted((EXAMPLES / deployment).glob("*.yaml"))
        if not path.name.startswith("settings")
        for document in yaml.safe_load_all(path.read_text())
    ]


def host_settings(number: int, platform_url: str, secret_file: Path) -> Settings:
    """Return the settings of one demo host; the kernel chooses its ports."""
    return check_settings(
        {
            "host": f"entry-{number}",
            "failure_domain": f"domain-{number}",
            "listen": "127.0.0.1:0",
            "operator_listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "platform": platform_url,
            "peer_secret_file": str(secret_file),
            "stop": {"balancer_lag": 0},
        }
    )


async def serve_runners(
    stack: contextlib.AsyncExitStack, documents: list[dict]
) -> tuple[dict[str, EngineStandIn], dict[str, ServiceStandIn]]:
    """Start a stand-in for each runner and set its address in the tables.

    :param stack: stops the stand-ins when it is closed
    :param documents: the tables, modified in place
    """
    engines: dict[str, EngineStandIn] = {}
    services: dict[str, ServiceStandIn] = {}
    for pool in [d for d in documents if d["kind"] == "Pool"]:
        for runner in pool["runners"]:
            name = runner["name"]
            if pool.get("runner_kind") == "service":
                services[name] = ServiceStandIn()
                app = create_service_application(services[name])
            else:
                models = list(pool.get("models", []))
                settings = EngineSettings(capacity=ENGINE_CAPACITY, models=models)
                engines[name] = create_engine_stand_in(settings)
                app = create_engine_application(engines[name])
            server = await serve(app)
            stack.push_async_callback(server.stop)
            runner["address"] = server.url.removeprefix("http://")
    return engines, services


@contextlib.asynccontextmanager
async def running_fleet(folder: Path) -> AsyncIterator[Fleet]:
    """Run the demo's fleet within a ``with`` block.

    :param folder: empty folder for the file with the peer secret
    """
    async with contextlib.AsyncExitStack() as stack:
        platform = create_platform_stand_in()
        server = await serve(create_platform_application(platform))
        stack.push_async_callback(server.stop)
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        client = create_platform_client(server.url, session)
        documents = read_example("caroni") + read_example("hokuyo")
        engines, services = await serve_runners(stack, documents)
        await apply_documents(client, documents)
        names = [d["name"] for d in documents if d["kind"] == "Organisation"]
        keys = {name: (await issue_key(client, name)).secret for name in names}
        secret_file = folder / "peer-secret"
        secret_file.write_text(SECRET)
        secret_file.chmod(0o600)
        hosts = []
        for number in range(1, HOSTS + 1):
            host = create_host(host_settings(number, server.url, secret_file))
            await host.start()
            stack.push_async_callback(host.stop)
            hosts.append(host)
        for host in hosts:
            await wait_until_ready(host)
        yield Fleet(platform, client, session, hosts, engines, services, keys)


async def apply_documents(client: PlatformClient, documents: list[dict]) -> None:
    """Write tables to the platform as ``primroseford apply`` does.

    :raises RuntimeError: if a table has a problem
    """
    checked = read_tables(documents)
    if checked.problems:
        raise RuntimeError("\n".join(str(problem) for problem in checked.problems))
    current = await read_platform(client)
    await apply_plan(client, plan_changes(checked, current), current)
