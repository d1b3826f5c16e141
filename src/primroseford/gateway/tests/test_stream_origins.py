"""What hosts know of the streams that other hosts began."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from dataclasses import replace
from random import Random
from types import SimpleNamespace

import pytest

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.gen.messages.ttypes import Bundle
from primroseford.gateway.gen.messages.ttypes import PoolVersions
from primroseford.gateway.gen.messages.ttypes import StreamRecord
from primroseford.gateway.stream_origins import DIGEST_BYTES
from primroseford.gateway.stream_origins import HOLDER_DOMAINS
from primroseford.gateway.stream_origins import HOLDERS_IN_DOMAIN
from primroseford.gateway.stream_origins import MAX_RECORDS
from primroseford.gateway.stream_origins import RETENTION_SECONDS
from primroseford.gateway.stream_origins import StreamKey
from primroseford.gateway.stream_origins import StreamOrigin
from primroseford.gateway.stream_origins import StreamOrigins
from primroseford.gateway.stream_origins import choose_asked
from primroseford.gateway.stream_origins import choose_holders
from primroseford.gateway.stream_origins import stream_key
from primroseford.gateway.stream_questions import ASK_REPEAT_SECONDS
from primroseford.gateway.stream_questions import ASK_SECONDS
from primroseford.gateway.stream_questions import Question
from primroseford.gateway.stream_records import StreamRecords
from primroseford.gateway.tests.test_version_history import LONG_SECONDS
from primroseford.gateway.tests.test_version_history import runners
from primroseford.gateway.version_history import HISTORY_SECONDS
from primroseford.gateway.version_history import VersionHistory
from primroseford.gateway.version_proof import REFRESH_SECONDS
from primroseford.ids import RequestId
from primroseford.ids import Version
from primroseford.peer.codec import decode
from primroseford.peer.codec import encode
from primroseford.proof.virtual_time import run_in_virtual_time

V1 = StreamOrigin("models", "v1", 1)
V2 = StreamOrigin("models", "v2", 2)
ROUTE = SimpleNamespace(pools=(("models", 1.0),))
LATENCY_SECONDS = 0.0014
"""One way between failure domains, as on the largest site."""


def fleet_domains(hosts: int, domains: int) -> dict[str, list[str]]:
    """Return host names by failure domain."""
    names = [f"host-{number}" for number in range(hosts)]
    return {f"zone-{d}": names[d::domains] for d in range(domains)}


class Network:
    """Hosts that exchange messages about streams in virtual time.

    :param domains: hosts by failure domain
    :ivar lost: hosts that answer nothing any more
    :ivar silent: hosts of which the others know that they are lost
    :ivar loss: share of the messages that are lost
    :ivar sent: messages sent by each host
    """

    def __init__(self, domains: dict[str, list[str]], loss: float = 0.0) -> None:
        self.domains = domains
        self.lost: set[str] = set()
        self.silent: set[str] = set()
        self.loss = loss
        self.random = Random(7)
        self.sent: dict[str, int] = {}
        names = [name for members in domains.values() for name in members]
        self.hosts = {name: self._create_host(name) for name in names}

    def _create_host(self, name: str) -> StreamRecords:
        clock = asyncio.get_running_loop().time
        allocator = SimpleNamespace(
            add_jitter=lambda s: s,
            versions=VersionHistory(clock),
            pool_runners=lambda pool: [],
        )
        gateway = SimpleNamespace(
            clock=clock,
            members=SimpleNamespace(
                own=name,
                peers={},
                live=lambda now: self._peers(name, is_silent=False),
                away=lambda now: self._peers(name, is_silent=True),
            ),
            allocator=allocator,
            runner_list_version=5,
            runner_list_confirmed_at=-math.inf,
            refresh_runner_list=self._refresh,
            read_runner_versions=self._read_versions,
        )
        records = StreamRecords(gateway)
        records.send = lambda host, bundle: self._send(name, host, bundle)
        return records

    async def _refresh(self) -> None:
        """Return at once, as the store does without changes."""

    async def _read_versions(self, since: int) -> dict[str, set[str]]:
        """Return no versions, as the store does without changes."""
        return {}

    def list_versions(
        self, host: str, seconds: float, versions: str, revision: int = 5
    ) -> None:
        """Let a host list runners, whose changes it has followed for some time.

        :param versions: versions that its list has, separated by spaces
        """
        history = self.hosts[host].gateway.allocator.versions
        history.follow(Version(revision), -math.inf)
        history.update(runners(*versions.split()))
        history.known_since -= seconds

    def _peers(self, own: str, is_silent: bool) -> list[SimpleNamespace]:
        return [
            SimpleNamespace(
                host=host,
                heartbeat=SimpleNamespace(failure_domain=domain),
            )
            for domain, members in self.domains.items()
            for host in members
            if host != own and (host in self.silent) is is_silent
        ]

    def _send(self, sender: str, host: str, bundle: Bundle) -> None:
        self.sent[sender] = self.sent.get(sender, 0) + 1
        if sender in self.lost or self.random.random() < self.loss:
            return
        data = encode(bundle)
        loop = asyncio.get_running_loop()
        loop.call_later(LATENCY_SECONDS, self._deliver, host, data)

    def _deliver(self, host: str, data: bytes) -> None:
        if host not in self.lost:
            self.hosts[host].receive(decode(Bundle, data))


def begin(network: Network, host: str, request_id: str, origin: StreamOrigin) -> None:
    """Let a host begin a stream whose caller waits for 5 s."""
    records = network.hosts[host]
    deadline = records.gateway.clock() + 5.0
    records.begin(RequestId(request_id), origin, deadline)


async def find(network: Network, host: str, request_id: str):
    """Return the origin that a host finds, or its error, and the time that it took."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    try:
        found = await network.hosts[host].find(RequestId(request_id), ROUTE, "")
    except PrimrosefordError as error:
        found = error
    return found, loop.time() - started


@pytest.mark.parametrize(
    ("hosts", "domains", "killed"),
    [(2, 1, 1), (3, 1, 2), (7, 3, 1), (7, 3, 2), (40, 3, 2), (165, 5, 4)],
)
def test_stream_of_a_host_that_is_killed_at_its_first_event(hosts, domains, killed):
    """Guards against a host that does not know the version of a killed host's stream.

    Further hosts are killed with it, which the others do not know yet.
    """

    async def play() -> None:
        by_domain = fleet_domains(hosts, domains)
        for number in range(20):
            network = Network(by_domain)
            names = list(network.hosts)
            begin(network, names[0], f"r{number}", V1)
            await asyncio.sleep(2 * LATENCY_SECONDS)
            network.lost = set(names[:killed])
            found, seconds = await find(network, names[-1], f"r{number}")
            assert found == V1
            assert seconds <= ASK_REPEAT_SECONDS + 4 * LATENCY_SECONDS

    run_in_virtual_time(play())


def test_host_waits_for_hosts_that_are_known_to_be_lost():
    """Guards against a caller that waits for answers which cannot come."""

    async def play() -> None:
        network = Network(fleet_domains(7, 3))
        begin(network, "host-0", "r", V1)
        await asyncio.sleep(1.0)
        network.lost = network.silent = {"host-0", "host-1"}
        found, seconds = await find(network, "host-6", "r")
        assert found == V1 and seconds < 4 * LATENCY_SECONDS

    run_in_virtual_time(play())


COPIES_OF_EARLIER_RELEASES = 4
"""Records that hosts of earlier releases send of an attempt after the first one: two
before its first event and two at it."""


def test_host_that_is_back_asks_nobody():
    """Guards against a refusal while no heartbeat has come yet after a cut or pause."""

    async def play() -> None:
        network = Network(fleet_domains(7, 3))
        begin(network, "host-0", "r", V1)
        await asyncio.sleep(2 * LATENCY_SECONDS)
        asking = network.hosts["host-6"]
        asking.origins.records.clear()
        network.silent = set(network.hosts)
        network.lost = {"host-0"}
        found, seconds = await find(network, "host-6", "r")
        assert found == V1 and seconds < 4 * LATENCY_SECONDS

    run_in_virtual_time(play())


def test_host_that_is_back_asks_live_hosts_only():
    """Guards against a refusal where a host that knows the stream counts as silent."""

    async def play() -> None:
        network = Network(fleet_domains(7, 3))
        begin(network, "host-0", "r", V1)
        await asyncio.sleep(2 * LATENCY_SECONDS)
        for name in set(network.hosts) - {"host-5"}:
            network.hosts[name].origins.records.clear()
        network.lost = {"host-0"}
        network.silent = {"host-4", "host-5"}
        found, seconds = await find(network, "host-6", "r")
        assert found == V1 and seconds < 4 * LATENCY_SECONDS

    run_in_virtual_time(play())


@pytest.mark.parametrize("is_from_earlier_release", [False, True])
def test_inferred_origin_is_taken_for_a_known_one(is_from_earlier_release):
    """Guards against a host that spreads what it has concluded from its list."""

    async def play() -> None:
        network = Network(fleet_domains(3, 3))
        begin(network, "host-0", "r", V2)
        await asyncio.sleep(2 * LATENCY_SECONDS)
        inferring = network.hosts["host-1"]
        inferring.origins.records.clear()
        network.list_versions("host-1", HISTORY_SECONDS, "v1")
        network.lost = {"host-0", "host-2"}
        inferred, _ = await find(network, "host-1", "r")
        assert inferred.version == "v1"
        network.lost = {"host-0"}
        spread = replace(inferred, begun=is_from_earlier_release)
        begin(network, "host-1", "r", spread)
        await asyncio.sleep(2 * LATENCY_SECONDS)
        assert await find(network, "host-2", "r") == (V2, 0.0)
        network.hosts["host-2"].origins.records.clear()
        begin(network, "host-1", "r", spread)
        await asyncio.sleep(2 * LATENCY_SECONDS)
        known = network.hosts["host-2"].origins.find(stream_key("r"))
        assert not known.origin.begun

    run_in_virtual_time(play())


@pytest.mark.parametrize("loss", [0.1, 0.3])
@pytest.mark.parametrize(
    ("attempts", "wrong_most"),
    [
        ([(V2, 1)], 0),
        (
            [
                (replace(V1, begun=False), 1),
                (replace(V2, begun=False), COPIES_OF_EARLIER_RELEASES),
            ],
            2,
        ),
    ],
    ids=["this release", "earlier release"],
)
def test_lost_messages_give_a_wrong_version(attempts, wrong_most, loss):
    """Guards against the version of an attempt before the one that began the stream.

    The first attempt at v1 brought no event; the second, at v2, began the stream. Hosts
    of earlier releases tell of both.
    """

    async def play() -> None:
        wrong = unknown = 0
        network = Network(fleet_domains(9, 3), loss)
        for number in range(200):
            network.lost = set()
            for origin, copies in attempts:
                await asyncio.sleep(0.5)
                for _ in range(copies):
                    begin(network, "host-0", f"r{number}", origin)
                    await asyncio.sleep(0.025)
            network.lost = {"host-0"}
            found, _ = await find(network, "host-8", f"r{number}")
            refused = isinstance(found, PrimrosefordError)
            wrong += not refused and found.version == "v1"
            unknown += refused
        assert wrong <= wrong_most and unknown <= 20

    run_in_virtual_time(play())


@pytest.mark.parametrize("cut_off", [True, False])
def test_holder_asks_others_about_a_stream_that_it_knows(cut_off):
    """Guards against a wait, and against a refusal at a holder that is cut off."""

    async def play() -> None:
        network = Network(fleet_domains(4, 4))
        begin(network, "host-0", "r", V2)
        await asyncio.sleep(2 * LATENCY_SECONDS)
        if cut_off:
            network.lost = {"host-0", "host-1", "host-2"}
        sent = dict(network.sent)
        assert await find(network, "host-3", "r") == (V2, 0.0)
        assert network.sent == sent

    run_in_virtual_time(play())


@pytest.mark.parametrize(
    ("known", "later", "expected"),
    [
        (V1, V2, V2),
        (V2, V1, V2),
        (V1, replace(V2, begun=False), V1),
        (replace(V2, begun=False), V1, V1),
        (replace(V1, begun=False), replace(V2, begun=False), "v2"),
        (replace(V2, begun=False), replace(V1, begun=False), "v2"),
    ],
)
def test_attempt_that_may_fail_replaces_the_one_that_began(
    clock, known, later, expected
):
    """Guards against the version of an attempt that brought no event."""
    origins = StreamOrigins(clock)
    for origin in (known, later):
        origins.record(stream_key("r"), origin, 5.0, is_own=False)
    found = origins.find(stream_key("r")).origin
    assert expected in (found, found.version)


@pytest.mark.parametrize(
    ("hosts", "lost", "longest"),
    [(1, 0, 0.0), (7, 0, 3 * LATENCY_SECONDS), (7, 6, ASK_SECONDS + 0.001)],
)
def test_unknown_stream_is_refused_late_or_as_run(hosts, lost, longest):
    """Guards against a guess, a long wait, and a refusal that promises nothing."""

    async def play() -> None:
        network = Network(fleet_domains(hosts, 3))
        names = list(network.hosts)
        network.lost = set(names[1 : 1 + lost])
        error, seconds = await find(network, names[0], "absent")
        assert error.code is ResultCode.STREAM_VERSION_UNKNOWN
        assert (error.http_status, error.outcome) == (503, Outcome.NOT_RUN)
        assert error.retry_after > 0 and seconds <= longest + 1e-9

    run_in_virtual_time(play())


ONE_POOL = (("models", 1.0),)
TWO_POOLS = (("models", 1.0), ("other", 1.0))


UNANSWERED_SECONDS = 60.0
"""Time until the response of a store that does not answer in time."""


@dataclass
class Lists:
    """What the hosts know of the list of runners, and what the store returns.

    :param own: seconds for which the host has followed it, and its versions
    :param other: the same of another host, which has read the list before
    :param refreshed: versions that the list has when it is read again; ``None`` if the
        store refuses
    :param missed: versions of entries that the other host has not seen; ``None`` if the
        store no longer has them
    :param store_seconds: time until the response of the store
    """

    own: tuple[float, str] = (HISTORY_SECONDS, "v1")
    other: tuple[float, str] | None = None
    refreshed: str | None = "v1"
    missed: str | None = ""
    store_seconds: float = 0.005
    pools: tuple = ONE_POOL


LONG_V1 = (HISTORY_SECONDS, "v1")
NEW_V1 = (1.0, "v1")


@pytest.mark.parametrize(
    ("lists", "known"),
    [
        (Lists(), True),
        (Lists(store_seconds=REFRESH_SECONDS - 0.001), True),
        (Lists(refreshed="v1 v2"), False),
        (Lists(own=(HISTORY_SECONDS, "v1 v2"), refreshed="v1 v2"), False),
        (Lists(store_seconds=UNANSWERED_SECONDS), False),
        (Lists(refreshed=None), False),
        (Lists(pools=TWO_POOLS), False),
        (Lists(own=NEW_V1), False),
        (Lists(own=NEW_V1, other=NEW_V1), False),
        (Lists(own=NEW_V1, other=LONG_V1), True),
        (Lists(own=NEW_V1, other=(LONG_SECONDS, "v1 v2")), False),
        (Lists(own=LONG_V1, other=(1.0, "v1 v2")), False),
        (Lists(own=LONG_V1, other=(1.0, "v2")), False),
        (Lists(own=NEW_V1, other=LONG_V1, missed="v1"), True),
        (Lists(own=NEW_V1, other=LONG_V1, missed="v2"), False),
        (Lists(own=NEW_V1, other=LONG_V1, missed=None), False),
        (Lists(own=LONG_V1, other=LONG_V1, missed=None), True),
        (Lists(own=(1.0, ""), other=(LONG_SECONDS, ""), refreshed=""), False),
    ],
    ids=[
        "one version",
        "slow store",
        "another version has joined",
        "several versions",
        "cut off",
        "store refuses",
        "several pools",
        "started lately, alone",
        "all started lately",
        "started lately, another host has followed the list",
        "another host has seen a second version",
        "a new host has seen a second version",
        "a new host has seen another version",
        "other host is behind",
        "other host is behind and misses a version",
        "other host is behind and the changes are gone",
        "changes are gone and not needed",
        "no runner",
    ],
)
@pytest.mark.parametrize("request_id", ["absent", ""])
def test_stream_goes_on_without_a_record(lists, known, request_id):
    """Guards against refusals where one version has served, and guesses elsewhere."""

    async def play() -> None:
        network = Network(fleet_domains(2, 2))
        records = network.hosts["host-0"]
        gateway = records.gateway
        network.list_versions("host-0", *lists.own, revision=9)
        if lists.other is not None:
            network.list_versions("host-1", *lists.other, revision=8)

        async def refresh() -> None:
            await asyncio.sleep(lists.store_seconds)
            if lists.refreshed is None:
                raise PrimrosefordError(ResultCode.CALLS_LIMITED, "too many calls")
            gateway.allocator.versions.update(runners(*lists.refreshed.split()))

        async def read_versions(since: int) -> dict[str, set[str]] | None:
            assert since == 8
            missed = lists.missed
            return None if missed is None else {"models": set(missed.split())}

        gateway.refresh_runner_list = refresh
        gateway.read_runner_versions = read_versions
        route = SimpleNamespace(pools=lists.pools)
        loop = asyncio.get_running_loop()
        started = loop.time()
        if known:
            found = await records.find(RequestId(request_id), route, "")
            assert (found.pool, found.version) == ("models", "v1")
        else:
            with pytest.raises(PrimrosefordError) as caught:
                await records.find(RequestId(request_id), route, "")
            assert caught.value.code is ResultCode.STREAM_VERSION_UNKNOWN
            assert caught.value.outcome is Outcome.NOT_RUN
        longest = 3 * LATENCY_SECONDS + REFRESH_SECONDS
        assert loop.time() - started <= longest + 1e-9

    run_in_virtual_time(play())


def test_proof_is_needed_again_for_each_stream():
    """Guards against calls for each stream after another host has vouched."""

    async def play() -> None:
        network = Network(fleet_domains(2, 2))
        network.list_versions("host-0", *NEW_V1)
        network.list_versions("host-1", *LONG_V1)
        assert (await find(network, "host-0", "a"))[0].version == "v1"
        network.lost = {"host-1"}
        assert (await find(network, "host-0", "b"))[0].version == "v1"

    run_in_virtual_time(play())


def test_records_are_kept_for_ever(clock):
    """Guards against memory that grows with the requests of a day."""
    origins = StreamOrigins(clock)
    for number in range(MAX_RECORDS + 100):
        key = stream_key(f"r{number}")
        origins.record(key, V1, 5.0 + RETENTION_SECONDS, is_own=False)
    assert len(origins.records) == MAX_RECORDS
    clock.advance(6.0 + RETENTION_SECONDS)
    assert origins.find(stream_key(f"r{MAX_RECORDS}")) is None
    origins.record(stream_key("new"), V1, 5.0, is_own=False)
    assert len(origins.records) == 1


@pytest.mark.parametrize(("hosts", "domains"), [(6, 3), (15, 3), (6, 1)])
def test_host_of_a_small_fleet_is_told_of_no_stream(hosts, domains):
    """Guards against streams that nobody knows while some hosts are left."""
    by_domain = fleet_domains(hosts, domains)
    holders = choose_holders(stream_key(RequestId("r")), by_domain)
    assert len(holders) == hosts
    assert set(holders) == {host for members in by_domain.values() for host in members}


@pytest.mark.parametrize(("hosts", "domains"), [(39, 3), (164, 5), (1499, 21)])
def test_holders_of_one_failure_domain(hosts, domains):
    """Guards against holders that are lost together, and hosts that ask others."""
    by_domain = fleet_domains(hosts, domains)
    domain_of = {host: d for d, members in by_domain.items() for host in members}
    told: dict[str, int] = {}
    expected = min(HOLDER_DOMAINS, domains)
    for number in range(2000):
        key = stream_key(RequestId(f"r{number}"))
        holders = choose_holders(key, by_domain)
        assert len({domain_of[host] for host in holders}) == expected
        assert len(holders) == expected * HOLDERS_IN_DOMAIN
        for host in holders:
            told[host] = told.get(host, 0) + 1
        # The holders of one domain are lost, and other hosts have joined.
        lost = holders[:HOLDERS_IN_DOMAIN]
        seen = {
            d: [host for host in members if host not in lost] + [f"new-{d}"]
            for d, members in by_domain.items()
        }
        asked = choose_asked(key, seen)
        assert set(holders[HOLDERS_IN_DOMAIN:]) <= set(asked)
        assert len(asked) <= 16
    per_host = 2000 * expected * HOLDERS_IN_DOMAIN / hosts
    assert max(told.values()) <= 5 + 3 * per_host


@pytest.mark.parametrize(
    "record",
    [
        StreamRecord(),
        StreamRecord(b"", "p", "v1", 1, 1000),
        StreamRecord(b"k" * 65, "p", "v1", 1, 1000),
        StreamRecord(b"k", "p" * 257, "v1", 1, 1000),
        StreamRecord(b"k", "p", "v" * 257, 1, 1000),
        StreamRecord(b"k", None, "v1", 1, 1000),
        StreamRecord(b"k", "p", "v1", None, None),
    ],
)
def test_message_with_missing_or_long_fields(clock, record):
    """Guards against records of other software that end the host or fill its memory."""
    members = SimpleNamespace(own="host-0", live=lambda now: [])
    records = StreamRecords(SimpleNamespace(clock=clock, members=members))
    records.receive(Bundle("host-1", [], stream_records=[record]))
    records.receive(Bundle("host-1", [], stream_answers=[record]))
    assert all(len(key) <= 64 for key in records.origins.records)
    assert len(stream_key(RequestId("x" * 10_000))) == DIGEST_BYTES


@pytest.mark.parametrize(
    ("message", "is_used"),
    [
        (PoolVersions("models", ["v1"], 5, True), True),
        (PoolVersions("models", [], 5, True), True),
        (PoolVersions("models", None, None, None), True),
        (PoolVersions(None, ["v1"], 5, True), False),
        (PoolVersions("", ["v1"], 5, True), False),
        (PoolVersions("p" * 257, ["v1"], 5, True), False),
        (PoolVersions("models", ["v" * 257], 5, True), False),
        (PoolVersions("models", [""], 5, True), False),
    ],
)
def test_answer_about_versions_with_missing_or_long_fields(clock, message, is_used):
    """Guards against answers of other software that end the host or prove something."""
    members = SimpleNamespace(own="host-0", live=lambda now: [], away=lambda now: [])
    records = StreamRecords(SimpleNamespace(clock=clock, members=members))
    question = Question("models", 1, {"host-1"}, None)
    records.questions.open[StreamKey(b"pool models")] = question
    records.receive(Bundle("host-1", [], version_answers=[message]))
    assert bool(question.evidence) is is_used
    proves = {e.is_whole and len(e.versions) == 1 for e in question.evidence.values()}
    assert (True in proves) is (message.versions == ["v1"] and is_used)


def share_found(hosts: int, domains: int, lost_share: float, known: bool) -> float:
    """Return the share of streams whose origin is found after hosts were killed.

    :param lost_share: share of the hosts that are killed, the one that began the stream
        among them; another share of the same size of those left is killed after that
    :param known: whether the hosts know which others are lost
    """
    random = Random(7)
    found = 0
    streams = 300
    for number in range(streams):
        key = stream_key(RequestId(f"r{number}"))
        by_domain = fleet_domains(hosts, domains)
        names = [host for members in by_domain.values() for host in members]
        owner = names[0]
        others = {d: [h for h in m if h != owner] for d, m in by_domain.items()}
        holders = choose_holders(key, others)
        lost = {owner}
        for _ in range(2):
            left = [name for name in names if name not in lost]
            lost.update(random.sample(left, round(lost_share * hosts)))
        asker = random.choice([name for name in names if name not in lost])
        hidden = lost | {asker} if known else {asker}
        seen = {d: [h for h in m if h not in hidden] for d, m in by_domain.items()}
        seen = {domain: members for domain, members in seen.items() if members}
        asked = {asker, *choose_asked(key, seen)}
        found += bool(set(holders) & asked - lost)
    return found / streams


@pytest.mark.parametrize("known", [True, False])
@pytest.mark.parametrize("lost_share", [0.1, 0.3])
@pytest.mark.parametrize(("hosts", "domains"), [(7, 3), (40, 3), (165, 5), (1500, 21)])
def test_few_streams_go_on_after_hosts_are_killed_in_series(
    hosts, domains, lost_share, known
):
    """Guards against a share below half of that of new streams, all of which begin."""
    assert share_found(hosts, domains, lost_share, known) >= 0.5
