"""A fleet of complete hosts in one process with stand-ins, for tests."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

import aiohttp

from primroseford.daemon.host import wait_until_ready
from primroseford.keys.secrets import create_key
from primroseford.proof.hosts import HostTasks
from primroseford.proof.hosts import PlatformView
from primroseford.proof.hosts import host_settings
from primroseford.proof.hosts import kill_host
from primroseford.proof.hosts import start_host
from primroseford.standins.engine import create_engine_stand_in
from primroseford.standins.engine_http import create_engine_application
from primroseford.standins.engine_state import EngineSettings
from primroseford.standins.platform import create_platform_application
from primroseford.standins.platform import create_platform_stand_in
from primroseford.standins.service import ServiceStandIn
from primroseford.standins.service import create_service_application
from primroseford.standins.serving import serve

if TYPE_CHECKING:
    from pathlib import Path

    from primroseford.daemon.host import Host

WAIT_SECONDS = 30.0
CHAT = "/v1/chat/completions"
MODEL = "van-round"
DESK_MATCH = {"path_prefix": "/desk/"}


class WholeFleet:
    """Hosts, runners and the platform service.

    Requests to ``/v1/chat/completions`` go to engines and are repeatable unless
    ``repeatable`` is set to False before the start. Requests to ``/desk/`` go to a
    plain service and are not repeatable.
    """

    def __init__(self, folder: Path) -> None:
        self.secret_file = folder / "peer-secret"
        self.secret_file.write_text("proof-secret-" * 4)
        self.platform = create_platform_stand_in()
        self.views: dict[str, PlatformView] = {}
        self.hosts: dict[str, Host] = {}
        self.addresses: dict[str, str] = {}
        self.tasks = HostTasks()
        self.engines = []
        self.service = ServiceStandIn()
        self.keys = {name: create_key() for name in ("depot", "garage")}
        self.cleanups = []
        self.repeatable = True

    async def start(self, engines: int = 1, pool=None, desk=None, **hosts) -> None:
        """Start the stand-ins and then the hosts.

        The pool of the plain service has two runners, so that a wrong second execution
        would find a runner.

        :param hosts: failure domain of each host, by name
        """
        self.tasks.install()
        self.client = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        self.client._retry_connection = False
        self.cleanups.append(self.client.close)
        runners = [await self._start_engine(n) for n in range(engines)]
        desks = []
        for number in range(2):
            served = await self._serve(create_service_application(self.service))
            desks.append(self._runner(f"desk-{number}", served.url))
        self._put_tables(runners, desks, pool or {}, desk or {})
        for name, domain in (hosts or {"a": "d0", "b": "d1", "c": "d2"}).items():
            await self.add(name, domain)
        for host in self.hosts.values():
            await wait_until_ready(host, WAIT_SECONDS)
        await self.until(self.converged)

    async def add(self, name: str, domain: str, down=False, **extra) -> Host:
        """Start a host with its own view of the platform, which has separate faults.

        :param down: whether the platform service is down for this host
        """
        view = self.views[name] = PlatformView(self.platform)
        view.faults.down = down
        served = await self._serve(create_platform_application(view))
        settings = host_settings(name, domain, served.url, self.secret_file, **extra)
        host = self.hosts[name] = await start_host(settings)
        self.addresses[name] = host.address
        address = host.components.peers.address
        spec = {"role": "entry", "state": "live", "address": address}
        self.put("hosts", name, spec)
        return host

    async def kill(self, name: str) -> None:
        """Terminate a host without cleanup, as a crash does."""
        await kill_host(self.hosts.pop(name), self.tasks)

    def converged(self) -> bool:
        """Return whether all hosts know each other and each group has an owner."""
        components = [host.components for host in self.hosts.values()]
        owned = [p.limiter.ownership.owned.keys() for p in components]
        return all(
            {h.host_id for h in p.membership.hosts()} == self.hosts.keys()
            for p in components
        ) and sum(len(o) for o in owned) == len(components[0].limiter.groups)

    def owner(self, organisation: str) -> str:
        """Return the host that owns the limit group of an organisation."""
        for name, host in self.hosts.items():
            limiter = host.components.limiter
            if limiter.owns(limiter.group_of(organisation)):
                return name
        return ""

    def put(self, kind: str, name: str, spec: dict) -> None:
        """Create or replace an object as an operator does."""
        state = self.platform.state
        metadata: dict[str, object] = {"name": name}
        spec = {"operation": "operator", "labels": {}, "content": spec}
        found = state.objects.get(kind, {}).get(name)
        if found is None:
            state.create(kind, {"metadata": metadata, "spec": spec})
        else:
            metadata["revision"] = found["metadata"]["revision"]
            state.update(kind, {"metadata": metadata, "spec": spec})
        self.platform.announce()

    def withdraw(self, organisation: str) -> None:
        """Withdraw an organisation's key."""
        key = self.keys[organisation]
        spec = {"organisation": organisation, "hash": key.hash, "withdrawn": True}
        self.put("keys", key.key_id, spec)

    def set_platform_down(self, value: bool) -> None:
        """Start or end an outage of the platform service for all hosts."""
        for view in self.views.values():
            view.faults.down = value

    def bearer(self, organisation: str = "depot") -> dict[str, str]:
        """Return the authorization header with an organisation's key."""
        return {"Authorization": f"Bearer {self.keys[organisation].secret}"}

    def url(self, name: str, path: str) -> str:
        """Return a URL on a host."""
        return f"http://{self.addresses[name]}{path}"

    async def call(self, name: str, path: str = "/desk/x", headers=None, **body):
        """Send a request and return (status, headers, content)."""
        organisation = body.pop("organisation", "depot")
        if path == CHAT:
            messages = [{"role": "user", "content": "next stop"}]
            body = {"model": MODEL, "messages": messages} | body
        headers = self.bearer(organisation) | (headers or {})
        async with self.client.post(
            self.url(name, path), json=body, headers=headers
        ) as response:
            return response.status, response.headers, await response.read()

    async def submit(self, name: str, items: int = 4, key: str = "") -> tuple[int, str]:
        """Upload an input file and submit a job; return (status, job id)."""
        lines = [
            {
                "custom_id": f"item-{n}",
                "method": "POST",
                "url": CHAT,
                "body": {"model": MODEL, "messages": [{"content": f"item {n}"}]},
            }
            for n in range(items)
        ]
        form = aiohttp.FormData()
        form.add_field("purpose", "batch")
        text = "\n".join(json.dumps(line) for line in lines).encode()
        form.add_field("file", text, filename="in.jsonl")
        url = self.url(name, "/v1/files")
        async with self.client.post(url, data=form, headers=self.bearer()) as response:
            file = (await response.json())["id"]
        body = {"input_file_id": file, "endpoint": CHAT, "completion_window": "24h"}
        status, _, content = await self.call(
            name, "/v1/batches", {"Idempotency-Key": key} if key else {}, **body
        )
        return status, json.loads(content).get("id", "")

    async def read_job(self, name: str, job: str) -> dict:
        """Return a job as a host reports it to its organisation."""
        url = self.url(name, f"/v1/batches/{job}")
        async with self.client.get(url, headers=self.bearer()) as response:
            return await response.json()

    async def read_file(self, name: str, file: str) -> list[dict]:
        """Return the lines of an output file."""
        url = self.url(name, f"/v1/files/{file}/content")
        async with self.client.get(url, headers=self.bearer()) as response:
            return [json.loads(line) for line in (await response.text()).splitlines()]

    async def until(self, condition) -> None:
        """Wait for a condition, for at most ``WAIT_SECONDS``."""
        async with asyncio.timeout(WAIT_SECONDS):
            while True:
                found = condition()
                if asyncio.iscoroutine(found):
                    found = await found
                if found:
                    return
                await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """Stop all running hosts and stand-ins."""
        for host in self.hosts.values():
            await host.stop()
        for stop in reversed(self.cleanups):
            await stop()

    def _put_tables(self, runners, desks, pool: dict, desk: dict) -> None:
        members = {"organisations": list(self.keys), "timeout_seconds": 60}
        chat = {"match": {"models": [MODEL]}, "pool": "vans"}
        chat["repeatable"] = self.repeatable
        self.put("pools", "vans", {"runners": runners} | pool)
        self.put("pools", "desk", {"runner_kind": "service", "runners": desks} | desk)
        self.put("routes", "vans", chat | members)
        self.put("routes", "desk", {"match": DESK_MATCH, "pool": "desk"} | members)
        for name, key in self.keys.items():
            self.put("organisations", name, {"rate": 500, "burst": 500})
            self.put("keys", key.key_id, {"organisation": name, "hash": key.hash})

    async def _serve(self, application):
        served = await serve(application)
        self.cleanups.append(served.stop)
        return served

    async def _start_engine(self, number: int) -> dict:
        engine = create_engine_stand_in(EngineSettings(report_lag_seconds=0.0))
        self.engines.append(engine)
        served = await self._serve(create_engine_application(engine))
        return self._runner(f"runner-{number}", served.url)

    def _runner(self, name: str, url: str) -> dict:
        address = url.removeprefix("http://")
        return {"name": name, "address": address, "failure_domain": "d0"}
