"""Views of what entry hosts do, from their metrics."""

from __future__ import annotations

import json
import math

import pytest
from aiohttp import web
from prometheus_client import generate_latest

from primroseford.cli.exits import Exit
from primroseford.cli.rates import growth
from primroseford.cli.rates import quantile
from primroseford.cli.rates import rates
from primroseford.cli.rates import read_samples
from primroseford.cli.tests.test_cli import run
from primroseford.gateway.state import GatewayMetrics
from primroseford.metrics import Metrics
from primroseford.standins.serving import serve

SECONDS = 0.2


class CountingHost:
    """Metrics of a host that serves some requests between two readings."""

    def __init__(self) -> None:
        self.metrics = Metrics()
        self.gateway = GatewayMetrics(self.metrics)
        self.reads = 0

    async def read(self, _: web.Request) -> web.Response:
        """Return the metrics, then count on."""
        text = generate_latest(self.metrics.registry)
        self.reads += 1
        for _ in range(3):
            self.gateway.requests.labels("streaming", "ok").inc()
            self.gateway.seconds.labels("streaming").observe(0.08)
        self.gateway.requests.labels("idempotent", "runner_failed").inc()
        self.gateway.refusals.labels("rate_limited").inc(2)
        self.gateway.items.labels("complete").inc()
        return web.Response(body=text, content_type="text/plain")


async def _served(handler) -> tuple[str, object]:
    app = web.Application()
    app.router.add_get("/metrics", handler)
    found = await serve(app)
    return f"{found.url}/metrics", found


async def test_top_shows_each_host_and_all_together():
    """Guards against an on-call engineer who has to read counters by hand."""
    hosts = [CountingHost(), CountingHost()]
    served = [await _served(host.read) for host in hosts]
    urls = [url for url, _ in served]
    dark = "http://127.0.0.1:1/metrics"
    command = f"top {' '.join(urls)} {dark} --seconds {SECONDS} --count 2"
    code, output, error = await run(f"{command} --format json")
    assert (code, error) == (Exit.OK, "")
    body = json.loads(output)
    assert body["hosts"][dark] is None
    assert body["hosts"][urls[0]]["requests"] == pytest.approx(4 / SECONDS)
    assert body["total"]["requests"] == pytest.approx(8 / SECONDS)
    assert body["total"]["good"] == pytest.approx(0.75)
    assert body["total"]["refused"] == pytest.approx(4 / SECONDS)
    assert body["total"]["items"] == pytest.approx(2 / SECONDS)
    assert 0.05 <= body["total"]["median"] <= 0.1
    assert [host.reads for host in hosts] == [3, 3]
    code, output, _ = await run(command)
    views = output.strip().split("\n\n")
    assert len(views) == 2
    lines = views[0].splitlines()
    assert f"{dark:<{len(urls[0])}}  does not answer" in lines
    assert {len(line) for line in lines if "not answer" not in line} == {len(lines[0])}
    assert views[1].splitlines()[-1].startswith("2 of 3 hosts")
    for _, found in served:
        await found.stop()


async def test_top_without_an_answer_says_so():
    """Guards against zeros that look like an idle fleet."""
    wrong, found = await _served(_no_metrics)
    code, output, _ = await run(f"top {wrong} --seconds {SECONDS} --count 1")
    assert code == Exit.UNAVAILABLE
    assert "does not answer" in output
    await found.stop()


async def _no_metrics(_: web.Request) -> web.Response:
    return web.Response(text="no metrics {")


@pytest.mark.parametrize(
    "options", ["--seconds 0", "--seconds x", "--seconds nan", "--count=-1"]
)
async def test_top_refuses_wrong_options(options):
    """Guards against a view that is never shown, or without a pause."""
    code, _, error = await run(f"top http://127.0.0.1:1/metrics {options}")
    assert code == Exit.USAGE
    assert "is no number" in error


def test_counters_of_a_new_process_count_from_zero():
    """Guards against negative rates after a restart."""
    key, other = ("gateway_requests_total", frozenset()), ("x", frozenset())
    assert growth({key: 50.0}, {key: 4.0, other: 1.0}) == {key: 4.0, other: 1.0}
    assert growth({key: 50.0}, {key: 53.0}) == {key: 3.0}


@pytest.mark.parametrize(
    ("buckets", "part", "expected"),
    [
        ({}, 0.5, None),
        ({0.1: 0, math.inf: 0}, 0.5, None),
        ({0.1: 10, 0.2: 10, math.inf: 10}, 0.5, 0.05),
        ({0.1: 5, 0.2: 10, math.inf: 10}, 0.75, 0.15),
        ({0.1: 0, 0.2: 4, math.inf: 4}, 0.5, 0.15),
        ({0.1: 1, 0.2: 1, math.inf: 4}, 0.99, 0.2),
    ],
)
def test_quantile_of_buckets(buckets, part, expected):
    """Guards against times that no bucket supports."""
    found = quantile(buckets, part)
    assert found == (None if expected is None else pytest.approx(expected))


def test_rates_of_an_idle_fleet():
    """Guards against a division by nothing."""
    found = rates([read_samples("")], 2.0)
    assert (found.requests, found.good, found.median) == (0.0, None, None)
