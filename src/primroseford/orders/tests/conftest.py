"""Engines that check or ignore fencing numbers, and hosts that send them orders."""

from __future__ import annotations

import asyncio

import pytest

from primroseford.ids import RunnerName
from primroseford.orders.service import create_order_service
from primroseford.orders.state import OrderTarget
from primroseford.standins.engine import create_engine_stand_in
from primroseford.standins.engine_http import create_engine_application
from primroseford.standins.engine_state import EngineSettings
from primroseford.standins.serving import serve


@pytest.fixture
async def engine_of():
    """Start engines; each is returned with its ``OrderTarget``."""
    started = []

    async def start(checks_fencing: bool, name: str = "runner-1"):
        engine = create_engine_stand_in(EngineSettings(checks_fencing=checks_fencing))
        served = await serve(create_engine_application(engine))
        started.append(served)
        address = served.url.removeprefix("http://")
        return engine, OrderTarget(RunnerName(name), address, checks_fencing)

    yield start
    for served in started:
        await served.stop()


@pytest.fixture
async def host_of(create_keeper, session, clock):
    """Create order services of hosts; their polls advance the manual clock."""
    created = []

    async def pause(seconds: float) -> None:
        clock.advance(seconds)
        await asyncio.sleep(0.001)

    def create(name: str, **options):
        options = {"pause": pause} | options
        service = create_order_service(
            create_keeper(name), session, clock=clock, **options
        )
        created.append(service)
        return service

    yield create
    for service in created:
        await service.on_stop()
