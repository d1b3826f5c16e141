from __future__ import annotations

import aiohttp
import pytest

from primroseford.daemon.host import running_host
from primroseford.daemon.host import wait_until_ready
from primroseford.daemon.settings import check_settings
from primroseford.daemon.tests.test_host import host_document
from primroseford.standins.engine import create_engine_stand_in
from primroseford.standins.engine_http import create_engine_application
from primroseford.standins.serving import serve

ORDER = {"runner": "r1", "order": "load_adapter", "model": "drip"}


@pytest.mark.parametrize(
    ("body", "status", "expected"),
    [
        (ORDER, 200, "accepted"),
        (ORDER | {"runner": "absent"}, 404, 1009),
        (ORDER | {"surprise": 1}, 400, 1003),
        (ORDER | {"model": "x" * 5000}, 413, 1006),
        (ORDER | {"order": "Load Model"}, 400, 1003),
        ([], 400, 1003),
    ],
)
async def test_operators_send_orders(tmp_path, platform, body, status, expected):
    """Guards against valid orders that are rejected and invalid ones that are sent."""
    engine = create_engine_stand_in()
    served = await serve(create_engine_application(engine))
    address = served.url.removeprefix("http://")
    runner = {"name": "r1", "address": address, "failure_domain": "domain-a"}
    spec = {"runners": [runner], "checks_fencing": True}
    platform.state.create("pools", {"metadata": {"name": "p"}, "spec": spec})
    settings = check_settings(host_document(tmp_path, platform.url))
    async with running_host(settings) as host, aiohttp.ClientSession() as session:
        await wait_until_ready(host)
        url = f"http://{host.operator_address}/orders"
        async with session.post(url, json=body) as response:
            body_received = await response.json()
            assert response.status == status
    await served.stop()
    accepted = status == 200
    assert (
        body_received["status"] if accepted else body_received["error"]["code"]
    ) == expected
    assert len(engine.state.orders) == accepted
