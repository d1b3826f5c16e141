"""Client of the stand-in, with metrics and without real waits."""

from __future__ import annotations

import pytest

from primroseford.metrics import Metrics
from primroseford.platform.client import create_platform_client


@pytest.fixture
def metrics() -> Metrics:
    return Metrics()


@pytest.fixture
def client(platform, session, metrics):
    built = create_platform_client(platform.url, session, metrics=metrics)

    async def no_wait(_: float) -> None: ...

    built.sleep = no_wait
    return built
