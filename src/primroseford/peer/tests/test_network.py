from __future__ import annotations

import asyncio

import pytest

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.peer import connection as connection_module
from primroseford.peer import handshake
from primroseford.peer.codec import LENGTH_PREFIX
from primroseford.peer.codec import MAX_FRAME_BYTES
from primroseford.peer.codec import decode
from primroseford.peer.codec import encode
from primroseford.peer.codec import frame
from primroseford.peer.codec import read_frame
from primroseford.peer.gen.messages.ttypes import Envelope
from primroseford.peer.gen.messages.ttypes import Hello
from primroseford.peer.gen.messages.ttypes import Proof
from primroseford.peer.network import IDLE_TIMEOUT_SECONDS
from primroseford.peer.tests.conftest import ECHO
from primroseford.peer.tests.conftest import until


async def echo(network, to, data=b"x", timeout=5.0):
    return await network.call(to, ECHO, Hello(nonce=data), timeout)


async def connect(network):
    host, port = network.address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port))


async def test_call_answers_and_uses_one_connection_per_pair(fleet):
    """Guards against a second connection for the opposite direction."""
    a, b = await fleet.add("a"), await fleet.add("b")
    assert (await echo(a, "b", b"1")).host_id == "a"
    assert (await echo(b, "a", b"2")).nonce == b"2"
    assert len(a.tasks) == len(b.tasks) == 1


async def test_simultaneous_connects_settle_on_one_connection(fleet):
    """Guards against two lasting connections after both hosts connect at once."""
    a, b = await fleet.add("a"), await fleet.add("b")
    await asyncio.gather(*(echo(x, y) for x, y in [(a, "b"), (b, "a")] * 20))
    for _ in range(2):
        await until(lambda: all(c.is_idle() for c in [*a.tasks.values()]))
        a.sweep()
        b.sweep()
    await until(lambda: len(a.tasks) == len(b.tasks) == 1)
    assert a.connections["b"].initiated
    assert not b.connections["a"].initiated


async def test_idle_connection_closes_and_reopens(fleet):
    """Guards against idle connections that are never closed."""
    a, b = await fleet.add("a"), await fleet.add("b")
    await echo(a, "b")
    fleet.clock.advance(IDLE_TIMEOUT_SECONDS)
    a.sweep()
    await until(lambda: not a.tasks and not b.tasks)
    assert (await echo(a, "b", b"again")).nonce == b"again"


@pytest.mark.parametrize(
    ("other", "code"),
    [
        ({"secret": b"another-secret-of-a-stranger"}, ResultCode.PEER_UNTRUSTED),
        ({"digest": "groups=64"}, ResultCode.PEER_SETTINGS_DIFFER),
    ],
)
async def test_host_with_other_secret_or_settings_is_refused(fleet, other, code):
    """Guards against a host without the secret or with other limit groups."""
    await fleet.add("a")
    stranger = await fleet.add("s", **other)
    with pytest.raises(PrimrosefordError) as caught:
        await echo(stranger, "a")
    assert caught.value.code is code


async def test_acceptor_refuses_an_initiator_without_the_secret(fleet):
    """Guards against an acceptor that serves requests before checking the proof."""
    a = await fleet.add("a")
    reader, writer = await connect(a)
    nonce = bytes(handshake.NONCE_BYTES)
    writer.write(frame(encode(Hello(1, "s", "1", "groups=16", nonce))))
    await read_frame(reader, 1024)
    await read_frame(reader, 1024)
    writer.write(frame(encode(Proof(b"\0" * 32))))
    answer = decode(Envelope, await read_frame(reader, 1024))
    assert answer.code == ResultCode.PEER_UNTRUSTED
    assert await reader.read() == b""
    writer.close()


async def test_wrong_version_is_refused_with_its_code(fleet, monkeypatch):
    """Guards against hosts of different protocol versions that misread messages."""
    a, b = await fleet.add("a"), await fleet.add("b")
    reader, writer = await connect(a)
    nonce = bytes(handshake.NONCE_BYTES)
    writer.write(frame(encode(Hello(2, "b", "1", "groups=16", nonce))))
    answer = decode(Envelope, await read_frame(reader, 1024))
    assert answer.code == ResultCode.PEER_PROTOCOL
    writer.close()
    assert (await echo(b, "a")).host_id == "b"


class Recorder:
    """Proxy for one connection that records the bytes from the initiator."""

    def __init__(self, target):
        self.target = target
        self.sent = b""

    async def relay(self, reader, writer):
        """Copy both directions until one ends."""
        host, port = self.target.rsplit(":", 1)
        target_reader, target_writer = await asyncio.open_connection(host, int(port))

        async def copy(source, sink, recorded):
            while data := await source.read(65536):
                if recorded:
                    self.sent += data
                sink.write(data)
            sink.close()

        await asyncio.gather(
            copy(reader, target_writer, True), copy(target_reader, writer, False)
        )


async def test_replayed_session_is_refused(fleet):
    """Guards against a replayed session that is accepted."""
    a, b = await fleet.add("a"), await fleet.add("b")
    served = []

    async def record(sender, message):
        served.append(message.nonce)

    b.register(402, Hello, record)
    a.register(402, Hello, record)
    recorder = Recorder(b.address)
    server = await asyncio.start_server(recorder.relay, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    fleet.addresses["b"] = f"127.0.0.1:{port}"
    await a.call("b", 402, Hello(nonce=b"once"), 5.0)
    assert served == [b"once"]
    reader, writer = await connect(b)
    writer.write(recorder.sent)
    await reader.read()
    writer.close()
    assert served == [b"once"]
    server.close()


async def test_frame_sent_twice_within_a_session_closes_it(fleet):
    """Guards against a replayed frame within a live connection."""
    a, b = await fleet.add("a"), await fleet.add("b")
    await echo(a, "b")
    open_connection = a.connections["b"]
    content = encode(Envelope(1, ECHO, 2, 0, 0, 0, encode(Hello()), ""))
    tagged_frame = frame(open_connection.session.outgoing.tag(content) + content)
    open_connection.writer.write(tagged_frame + tagged_frame)
    await until(lambda: not b.tasks)


@pytest.mark.parametrize("after_handshake", [True, False])
async def test_oversized_frame_closes_only_its_connection(fleet, after_handshake):
    """Guards against memory that is allocated for a declared, excessive length."""
    a, b = await fleet.add("a"), await fleet.add("b")
    c = await fleet.add("c")
    await echo(a, "b")
    await echo(c, "b")
    if after_handshake:
        a.connections["b"].writer.write(LENGTH_PREFIX.pack(MAX_FRAME_BYTES + 1))
        await until(lambda: "a" not in b.connections)
    else:
        reader, writer = await connect(b)
        writer.write(LENGTH_PREFIX.pack(2048))
        assert (
            decode(Envelope, await read_frame(reader, 1024)).code
            == ResultCode.BODY_TOO_LARGE
        )
        writer.close()
    assert not c.connections["b"].closed
    assert (await echo(a, "b")).host_id == "a"


@pytest.mark.parametrize("content", [b"", b"\xff" * 40, b"\x19\xfc\xff\xff\xff\x0f"])
async def test_garbage_before_the_handshake_is_refused(fleet, content):
    """Guards against a decoder exception that is not handled by the connection."""
    a = await fleet.add("a")
    reader, writer = await connect(a)
    writer.write(frame(content))
    answer = decode(Envelope, await read_frame(reader, 1024))
    assert answer.code == ResultCode.PEER_PROTOCOL
    writer.close()


async def test_peer_dying_mid_call_fails_the_call_at_once(fleet):
    """Guards against a call that waits for its timeout after the peer has failed."""
    a, b = await fleet.add("a"), await fleet.add("b")
    entered = asyncio.Event()

    async def hang(sender, message):
        entered.set()
        await asyncio.Event().wait()

    b.register(403, Hello, hang)
    a.register(403, Hello, hang)
    call = asyncio.create_task(a.call("b", 403, Hello(), 60.0))
    await entered.wait()
    b.connections["a"].writer.transport.abort()
    with pytest.raises(PrimrosefordError) as caught:
        await asyncio.wait_for(call, 10)
    assert caught.value.code is ResultCode.PEER_UNREACHABLE
    assert caught.value.outcome is Outcome.MAY_HAVE_RUN


async def test_call_times_out_and_late_answer_is_dropped(fleet):
    """Guards against a late answer that is returned to another call."""
    a, b = await fleet.add("a"), await fleet.add("b")
    release = asyncio.Event()

    async def slow(sender, message):
        await release.wait()
        return Hello(nonce=b"late")

    for network in (a, b):
        network.register(404, Hello, slow, Hello)
    await echo(a, "b")
    waiting = asyncio.create_task(a.call("b", 404, Hello(), 0.3))
    while not waiting.done():
        await echo(a, "b")
    with pytest.raises(PrimrosefordError) as caught:
        await waiting
    assert caught.value.code is ResultCode.PEER_TIMEOUT
    release.set()
    assert (await echo(a, "b", b"own")).nonce == b"own"


async def test_outgoing_queue_is_bounded(fleet, monkeypatch):
    """Guards against unbounded memory for messages to a peer that does not read."""
    a, _ = await fleet.add("a"), await fleet.add("b")
    await echo(a, "b")
    monkeypatch.setattr(connection_module, "MAX_QUEUED_FRAMES", 10)
    for _ in range(30):
        a.send("b", ECHO, Hello(nonce=b"x"))
    dropped = a.dropped.labels(str(ECHO))._value.get()
    assert dropped == 20


async def test_new_incarnation_replaces_the_connection(fleet):
    """Guards against messages on a connection to an earlier start of a host."""
    a, b = await fleet.add("a"), await fleet.add("b")
    await echo(a, "b")
    restarted = await fleet.add("b", incarnation="2")
    await echo(restarted, "a")
    assert a.connections["b"].session.incarnation == "2"
    assert (await echo(a, "b")).host_id == "a"
    await until(lambda: not b.tasks)


async def test_unknown_kind_and_unknown_host_give_codes(fleet):
    """Guards against a missing handler or host that breaks other connections."""
    a, _ = await fleet.add("a"), await fleet.add("b")
    a.register(499, Hello, lambda *_: None, Hello)
    with pytest.raises(PrimrosefordError) as caught:
        await a.call("b", 499, Hello(), 5.0)
    assert caught.value.code is ResultCode.PEER_PROTOCOL
    with pytest.raises(PrimrosefordError) as caught:
        await echo(a, "nobody")
    assert caught.value.code is ResultCode.PEER_UNREACHABLE
    assert (await echo(a, "b")).host_id == "a"


async def test_counters_count_messages_and_bytes_by_kind(fleet):
    """Guards against peer traffic that is missing in the counters."""
    a, _ = await fleet.add("a"), await fleet.add("b")
    await echo(a, "b")
    assert a.messages.labels("sent", str(ECHO))._value.get() == 1
    assert a.bytes.labels("received", str(ECHO))._value.get() > 20
