"""Runs the online application with stand-ins of runners over loopback."""

from __future__ import annotations

import asyncio
import json
from random import Random

import aiohttp
import pytest
from aiohttp import web

from primroseford.configuration.store import ConfigurationStore
from primroseford.ids import FailureDomainId
from primroseford.ids import HostId
from primroseford.ids import Version
from primroseford.keys.secrets import create_key
from primroseford.metrics import Metrics
from primroseford.online.application import ONLINE_STATE
from primroseford.online.application import create_online_application
from primroseford.platform.objects import PlatformObject
from primroseford.routing.tracker import create_runner_tracker
from primroseford.standins.engine import create_engine_stand_in
from primroseford.standins.engine_http import create_engine_application
from primroseford.standins.engine_state import EngineSettings
from primroseford.standins.service import ServiceStandIn
from primroseford.standins.service import create_service_application
from primroseford.standins.serving import serve

WAIT_SECONDS = 20.0
CHAT = "/v1/chat/completions"


class Rig:
    """Stand-ins, configuration tables and the application under test."""

    def __init__(self) -> None:
        self.engines = []
        self.service = ServiceStandIn()
        self.store = ConfigurationStore()
        self.objects: dict[tuple[str, str], dict] = {}
        self.keys = {name: create_key() for name in ("depot", "vans", "other")}
        self.stops = []
        self.leaving: set[str] = set()
        self.metrics = Metrics()

    async def start(
        self, engines=1, pool=None, route=None, prepare=None, **collaborators
    ):
        """Start ``engines`` engines, one service and the application."""
        runners = []
        for number in range(engines):
            engine = create_engine_stand_in(EngineSettings(report_lag_seconds=0.0))
            served = await serve(create_engine_application(engine))
            self.engines.append(engine)
            self.stops.append(served.stop)
            runners.append(self.runner(f"runner-{number}", served.url))
        served = await serve(create_service_application(self.service))
        self.stops.append(served.stop)
        self.pool = {"runners": runners, **(pool or {})}
        desk = {"runner_kind": "service", "runners": [self.runner("desk", served.url)]}
        self.put("pools", "engines", self.pool)
        self.put("pools", "desk", desk)
        members = {"organisations": ["depot", "vans"]}
        self.put("routes", "chat", self.route("engines", ["van-round"], route))
        self.put("routes", "desk", members | self.prefix("/desk/", "desk"))
        again = members | self.prefix("/again/", "desk") | {"repeatable": True}
        self.put("routes", "again", again)
        self.put("routes", "open", self.prefix("/open/", "desk") | {"open": True})
        for name, key in self.keys.items():
            self.put("organisations", name, {"rate": 1000, "burst": 1000})
            self.put("keys", key.key_id, {"organisation": name, "hash": key.hash})
        self.apply()
        self.tracker = create_runner_tracker(
            HostId("host-0"),
            FailureDomainId("domain-0"),
            asyncio.get_running_loop().time,
            Random(1),
            lambda name: name in self.leaving,
        )
        app = create_online_application(
            self.store,
            tracker=self.tracker,
            clock=asyncio.get_running_loop().time,
            metrics=self.metrics,
            **collaborators,
        )
        if prepare is not None:
            prepare(app)
        self.state = app[ONLINE_STATE]
        runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.url = f"http://127.0.0.1:{runner.addresses[0][1]}"
        self.client = aiohttp.ClientSession(
            self.url, connector=aiohttp.TCPConnector(limit=0)
        )
        self.stops += [runner.cleanup, self.client.close]
        return self

    def runner(self, name, url):
        address = url.removeprefix("http://")
        return {"name": name, "address": address, "failure_domain": "domain-0"}

    def prefix(self, prefix, pool):
        return {"match": {"path_prefix": prefix}, "pool": pool}

    def route(self, pool, models, extra):
        base = {"match": {"models": models}, "pool": pool}
        return base | {"organisations": ["depot", "vans"]} | (extra or {})

    def put(self, kind, name, spec):
        self.objects[kind, name] = spec

    def apply(self):
        """Apply the objects as a new version of the configuration."""
        items = [
            PlatformObject(kind, name, Version(1), spec)
            for (kind, name), spec in self.objects.items()
        ]
        self.store.replace(Version(self.store.current().version + 1), items)

    def withdraw(self, organisation):
        key = self.keys[organisation]
        self.objects["keys", key.key_id] |= {"withdrawn": True}
        self.apply()

    def bearer(self, organisation="depot"):
        return {"Authorization": f"Bearer {self.keys[organisation].secret}"}

    def post(self, path=CHAT, organisation="depot", headers=None, data=None, **body):
        """Return a POST request; without ``data``, its body is a chat with a model."""
        if data is None:
            message = {"role": "user", "content": body.pop("content", "next stop")}
            data = json.dumps({"model": "van-round", "messages": [message], **body})
        headers = {"Content-Type": "application/json", **(headers or {})}
        return self.client.post(
            path, data=data, headers=self.bearer(organisation) | headers
        )

    async def stop(self):
        for stop in reversed(self.stops):
            await stop()


async def until(condition):
    """Wait until a condition holds, at most ``WAIT_SECONDS``."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.002)


@pytest.fixture
async def rig():
    """Return a rig that is stopped after the test."""
    created = Rig()
    yield created
    await created.stop()
