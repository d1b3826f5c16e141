"""Rates of entry hosts, computed from their metrics."""

from __future__ import annotations

import json
import math

import pytest
from aiohttp import web
from prometheus_client import generate_latest

from primroseford.cli.exits import Exit
from primroseford.cli.rates import compute_rates
from primroseford.cli.rates import counter_increases
from primroseford.cli.rates import histogram_quantile
from primroseford.cli.rates import read_samples
from primroseford.cli.tests.test_cli import run
from primroseford.gateway.state import GatewayMetrics
from primroseford.metrics import Metrics
from primroseford.standins.serving import serve

INTERVAL_SECONDS = 0.2


class CountingHost:
    """Serves metrics that count some requests after each scrape."""

    def __init__(self) -> None:
        self.metrics = Metrics()
        self.gateway = GatewayMetrics(self.metrics)
        self.scrapes = 0

    async def scrape(self, _: web.Request) -> web.Response:
        """Return the metrics, then increase the counters."""
        text = generate_latest(self.metrics.registry)
        self.scrapes += 1
        for _ in range(3):
            self.gateway.requests.labels("streaming", "ok").inc()
            self.gateway.seconds.labels("streaming").observe(0.08)
        self.gateway.requests.labels("idempotent", "runner_failed").inc()
        self.gateway.refusals.labels("rate_limited").inc(2)
        self.gateway.items.labels("complete").inc()
        return web.Response(body=text, content_type="text/plain")


async def _serve_metrics(handler) -> tuple[str, object]:
    app = web.Application()
    app.router.add_get("/metrics", handler)
    server = await serve(app)
    return f"{server.url}/metrics", server


async def test_top_shows_each_host_and_the_total():
    """Guards against wrong rates of a host or of all hosts, and against a view that
    fails because one host does not answer."""
    hosts = [CountingHost(), CountingHost()]
    served = [await _serve_metrics(host.scrape) for host in hosts]
    urls = [url for url, _ in served]
    unreachable = "http://127.0.0.1:1/metrics"
    command = (
        f"top {' '.join(urls)} {unreachable} --seconds {INTERVAL_SECONDS} --count 2"
    )
    code, output, error = await run(f"{command} --format json")
    assert (code, error) == (Exit.OK, "")
    body = json.loads(output)
    assert body["hosts"][unreachable] is None
    assert body["hosts"][urls[0]]["requests"] == pytest.approx(4 / INTERVAL_SECONDS)
    assert body["total"]["requests"] == pytest.approx(8 / INTERVAL_SECONDS)
    assert body["total"]["good"] == pytest.approx(0.75)
    assert body["total"]["refused"] == pytest.approx(4 / INTERVAL_SECONDS)
    assert body["total"]["items"] == pytest.approx(2 / INTERVAL_SECONDS)
    assert 0.05 <= body["total"]["median"] <= 0.1
    assert [host.scrapes for host in hosts] == [3, 3]
    code, output, _ = await run(command)
    views = output.strip().split("\n\n")
    assert len(views) == 2
    lines = views[0].splitlines()
    assert f"{unreachable:<{len(urls[0])}}  does not answer" in lines
    assert {len(line) for line in lines if "not answer" not in line} == {len(lines[0])}
    assert views[1].splitlines()[-1].startswith("2 of 3 hosts")
    for _, server in served:
        await server.stop()


async def test_top_shows_the_state_that_only_one_host_knows():
    """Guards against a state of the fleet that operators cannot see."""
    hosts = [CountingHost(), CountingHost()]
    hosts[1].gateway.evacuated_domains.set(2)
    hosts[0].gateway.cold_runners.set(3)
    hosts[1].gateway.paced_runners.set(4)
    served = [await _serve_metrics(host.scrape) for host in hosts]
    urls = " ".join(url for url, _ in served)
    _, output, _ = await run(f"top {urls} --seconds {INTERVAL_SECONDS} --count 1")
    assert output.strip().splitlines()[-3:] == [
        "evacuated failure domains: 2",
        "cold runners: 3",
        "runners ramping up: 4",
    ]
    for _, server in served:
        await server.stop()


async def test_top_reports_that_no_host_answers():
    """Guards against rates of zero, as of an idle fleet, when no host answers."""
    url, server = await _serve_metrics(_invalid_metrics)
    code, output, _ = await run(f"top {url} --seconds {INTERVAL_SECONDS} --count 1")
    assert code == Exit.UNAVAILABLE
    assert "does not answer" in output
    await server.stop()


async def _invalid_metrics(_: web.Request) -> web.Response:
    return web.Response(text="no metrics {")


@pytest.mark.parametrize(
    "options", ["--seconds 0", "--seconds x", "--seconds nan", "--count=-1"]
)
async def test_top_rejects_invalid_options(options):
    """Guards against an interval or a count with which no view is ever shown, or with
    which hosts are scraped without a pause."""
    code, _, error = await run(f"top http://127.0.0.1:1/metrics {options}")
    assert code == Exit.USAGE
    assert "must be a number" in error


def test_counters_restart_from_zero_with_the_process():
    """Guards against negative rates after a restart."""
    key, other = ("gateway_requests_total", frozenset()), ("x", frozenset())
    assert counter_increases({key: 50.0}, {key: 4.0, other: 1.0}) == {
        key: 4.0,
        other: 1.0,
    }
    assert counter_increases({key: 50.0}, {key: 53.0}) == {key: 3.0}


@pytest.mark.parametrize(
    ("buckets", "quantile", "expected"),
    [
        ({}, 0.5, None),
        ({0.1: 0, math.inf: 0}, 0.5, None),
        ({0.1: 10, 0.2: 10, math.inf: 10}, 0.5, 0.05),
        ({0.1: 5, 0.2: 10, math.inf: 10}, 0.75, 0.15),
        ({0.1: 0, 0.2: 4, math.inf: 4}, 0.5, 0.15),
        ({0.1: 1, 0.2: 1, math.inf: 4}, 0.99, 0.2),
    ],
)
def test_quantile_of_buckets(buckets, quantile, expected):
    """Guards against estimates that the buckets do not support."""
    estimate = histogram_quantile(buckets, quantile)
    assert estimate == (None if expected is None else pytest.approx(expected))


def test_rates_of_an_idle_fleet():
    """Guards against a division by zero without requests."""
    idle_rates = compute_rates([read_samples("")], 2.0)
    assert (idle_rates.requests, idle_rates.good, idle_rates.median) == (
        0.0,
        None,
        None,
    )
