from __future__ import annotations

import json
from pathlib import Path
from random import Random

import aiohttp
import pytest

from primroseford.batch import runners
from primroseford.batch.index import JobIndex
from primroseford.batch.load import ONLINE_LOAD
from primroseford.batch.runners import ItemRequest
from primroseford.batch.runners import create_run_item
from primroseford.batch.service import BatchService
from primroseford.batch.state import JobState
from primroseford.batch.tests.conftest import ENDPOINT
from primroseford.batch.tests.conftest import line
from primroseford.batch.tests.fleet import Fleet
from primroseford.configuration.tables import Pool
from primroseford.configuration.tables import Runner
from primroseford.errors import Outcome
from primroseford.errors import ResultCode
from primroseford.membership.state import HostInfo
from primroseford.membership.state import HostState
from primroseford.online.exchange import create_runner_session
from primroseford.standins.engine import create_engine_stand_in
from primroseford.standins.engine_http import create_engine_application
from primroseford.standins.serving import serve

GOLDEN = Path(__file__).parent / "golden_session.jsonl"


class Membership:
    """Membership whose hosts and states a test sets."""

    def __init__(self, *names: str) -> None:
        self.callbacks = []
        self.names = names
        self.states: dict[str, HostState] = {}

    def hosts(self):
        """Return the hosts with their states."""
        return tuple(
            HostInfo(n, n, "127.0.0.1:1", "d", self.states.get(n, HostState.LIVE))
            for n in self.names
        )

    def on_change(self, callback):
        """Record a callback."""
        self.callbacks.append(callback)

    def replace(self, *names: str) -> None:
        """Replace the hosts and call the callbacks."""
        self.names = names
        for callback in self.callbacks:
            callback()


class Peers:
    """Peer network that records messages and handlers."""

    def __init__(self) -> None:
        self.sent, self.handlers = [], {}

    def send(self, host, kind, message):
        """Record a message."""
        self.sent.append((host, kind, message))

    def register(self, kind, message_type, handler):
        """Record a handler."""
        self.handlers[kind] = handler


def service_of(fleet: Fleet, online: dict[str, int]):
    """Return the service of host a, of a and b; the lowest name ranks highest."""
    membership, peers = Membership("a", "b"), Peers()
    context = fleet.host("a").feeder.context
    service = BatchService(
        "a",
        context,
        membership,
        lambda key, hosts: sorted(hosts, key=lambda info: info.host_id),
        peers,
        lambda runner: online.get(runner, 0),
    )
    return service, membership, peers


async def test_feeders_move_with_the_membership_and_finish_jobs():
    """Guards against a runner without a feeder after a membership change."""
    fleet, online = Fleet(), {}
    name = await fleet.accept(700)
    service, membership, peers = service_of(fleet, online)
    async with service:
        await fleet.until_state(name, "completed")
        assert list(service.feeders) == ["r"]
        membership.replace("0", "a")
        assert not service.feeders
        online["r"] = 3
        service.online_load_changed("r")

        async def load_sent() -> bool:
            return bool(peers.sent)

        await fleet.until(load_sent)
    host, kind, message = peers.sent[0]
    assert (host, kind, message.runner, message.in_flight) == ("0", ONLINE_LOAD, "r", 3)


@pytest.mark.parametrize("state", [HostState.LEAVING, HostState.SUSPECTED])
async def test_only_live_hosts_run_feeders(state):
    """Guards against a feeder assigned to a host that is leaving or suspected."""
    service, membership, _ = service_of(Fleet(), {})
    async with service:
        membership.states = {"a": state}
        membership.replace("a", "b")
        assert not service.feeders
        membership.states = {"b": state}
        membership.replace("b", "a")
        assert list(service.feeders) == ["r"]


async def test_overdue_jobs_expire():
    """Guards against an overdue job that never ends, and cancels sent to each host."""
    fleet = Fleet()
    first, second = await fleet.accept(5), await fleet.accept(5, "org-1")
    service, _, peers = service_of(fleet, {})
    await service.poll()
    await service.end_job(first)
    assert not service.context.index.is_active(first) and not peers.sent
    await service.expire_due()
    assert await fleet.state_of(second) == JobState.ACTIVE.value
    fleet.wall_clock.advance(86_400.0)
    await service.expire_due()
    assert await fleet.state_of(second) == JobState.EXPIRED.value
    codes = {r["error"]["code"] for r in await fleet.results(second, False)}
    assert codes == {str(int(ResultCode.JOB_EXPIRED))}


def test_active_jobs_are_listed_seldom_while_the_configuration_is_fresh():
    """Guards against lists by each host every few seconds, and stale job indexes."""
    fleet, age = Fleet(), 0.0
    service, _, _ = service_of(fleet, {})
    service.context.configuration.age = lambda now: age
    service.random = Random(1)
    polls = {}
    for age in (0.0, 5.1, None):
        polls[age] = 0
        for _ in range(3600):
            fleet.clock.advance(1.0)
            polls[age] += service.poll_due()
    assert 3 <= polls[0.0] <= 12
    assert polls[5.1] >= 240 and polls[None] >= 240


async def test_late_list_does_not_revive_or_end_a_job():
    """Guards against an outdated list that reverts a cancel or ends a new job."""
    fleet, index = Fleet(), JobIndex()
    name = await fleet.accept(1)
    listed = await fleet.store().active()
    index.apply(*listed[0])
    index.replace([], set())
    assert name in index.jobs
    index.end(name)
    index.replace(listed, {name})
    assert name not in index.jobs


async def test_runner_answers_become_outcomes(monkeypatch):
    """Guards against the outcome NOT_RUN for an item that may have run."""
    engine = create_engine_stand_in()
    served = await serve(create_engine_application(engine))
    address = served.url.removeprefix("http://")
    pool = Pool(name="vans", not_run_statuses=(503,))
    pool_without_statuses = Pool(name="vans")
    body = line("a")["body"]

    async def post(runner_address: str, pool: Pool = pool):
        runner = Runner(name="r", address=runner_address, failure_domain="d")
        return await run(ItemRequest(pool, runner, ENDPOINT, body, "id", 5.0))

    async with create_runner_session() as session:
        run = create_run_item(session)
        answer = await post(address)
        assert (answer.status, answer.outcome) == (200, Outcome.RAN)
        engine.faults.refuse_status = 503
        assert (await post(address)).outcome is Outcome.NOT_RUN
        assert (
            await post(address, pool_without_statuses)
        ).outcome is not Outcome.NOT_RUN
        engine.faults.refuse_status = 0
        engine.faults.wrong_request_id = True
        assert (await post(address)).outcome is Outcome.MAY_HAVE_RUN
        engine.faults.wrong_request_id = False
        monkeypatch.setattr(runners, "MAX_ANSWER_BYTES", 10)
        answer = await post(address)
        assert (answer.outcome, answer.too_large) == (Outcome.RAN, True)
        assert not answer.died
        engine.faults.die_before_answer = True
        answer = await post(address)
        assert (answer.outcome, answer.died) == (Outcome.MAY_HAVE_RUN, True)
    await served.stop()
    async with create_runner_session() as session:
        run = create_run_item(session)
        answer = await post(address)
        assert (answer.outcome, answer.died) == (Outcome.NOT_RUN, True)


async def test_whole_session_matches_golden_file(batch_host):
    """Guards against unintended changes of the responses to a caller."""
    seen = []
    fleet = Fleet(state=batch_host.platform.state, wall_clock=batch_host.wall_clock)
    batch_host.replace_tables()
    headers = {"Authorization": f"Bearer {batch_host.secrets['depot']}"}
    text = "\n".join(json.dumps(line(f"i{n}")) for n in range(3))

    async def call(session, method, path, **options):
        url = f"{batch_host.url}{path}"
        async with session.request(method, url, headers=headers, **options) as answer:
            content = await answer.text()
            seen.append({"call": f"{method} {path}", "status": answer.status})
            seen.append({"body": content})
            return content

    async with aiohttp.ClientSession() as session:
        form = aiohttp.FormData({"purpose": "batch"}, default_to_multipart=True)
        form.add_field("file", text.encode(), filename="in.jsonl")
        file_id = json.loads(await call(session, "POST", "/v1/files", data=form))["id"]
        job_request = {"input_file_id": file_id, "endpoint": ENDPOINT}
        await call(session, "POST", "/v1/batches", json=job_request)
        job_request["completion_window"] = "24h"
        made = json.loads(await call(session, "POST", "/v1/batches", json=job_request))
        name = made["id"]
        host = fleet.host("a")
        host.feeder.context.configuration = batch_host.configuration
        await host.refresh()
        host.feeder.pool = host.feeder.pool.model_copy(update={"max_in_flight": 3})
        host.start()
        await fleet.until_state(name, "completed")
        await host.feeder.stop()
        for path in (f"/v1/batches/{name}", f"/v1/files/{name}-output/content"):
            await call(session, "GET", path)
        await call(session, "POST", f"/v1/batches/{name}/cancel")
        await call(session, "GET", "/v1/batches?limit=2")
    lines = "".join(json.dumps(entry) + "\n" for entry in seen)
    assert lines == GOLDEN.read_text()
