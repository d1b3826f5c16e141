"""The relay protocol between hosts as pure functions on a host's state."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from primroseford.configuration.gen import ttypes
from primroseford.configuration.objects import Change
from primroseford.configuration.objects import Delta
from primroseford.configuration.objects import ObjectSet
from primroseford.configuration.objects import apply_delta
from primroseford.configuration.objects import make_delta
from primroseford.configuration.objects import make_slices
from primroseford.configuration.objects import snapshot_delta
from primroseford.ids import HostId
from primroseford.ids import Version

REPORT_SECONDS = 30.0
"""A report that was not repeated for this long is dropped."""

SLICES_SECONDS = 30.0
"""How long a sender keeps the slices of one snapshot for its receivers."""

MAX_DELTA_BYTES = 1024 * 1024
"""A larger delta is replaced by a snapshot in slices."""


@dataclass(frozen=True)
class HostVersion:
    """The version that a host has in force.

    :param version: version in force
    :param age: seconds since the platform confirmed it; nothing if it never did
    :param heard: time of the report on the clock of the host that holds it
    """

    version: Version
    age: float | None
    heard: float


@dataclass
class RelayState:
    """A host's copy of the configuration and what it knows about its age.

    :param confirmed_at: time at which the copy was known to be complete
    :param reports: versions in force of the hosts below in the tree
    :param slices: slices of the last snapshot that was asked for
    """

    host: HostId
    objects: ObjectSet = field(default_factory=ObjectSet)
    confirmed_at: float | None = None
    reports: dict[HostId, HostVersion] = field(default_factory=dict)
    slices: tuple[tuple[Change, ...], ...] = ()
    slices_version: Version = Version(0)
    slices_at: float = 0.0


@dataclass
class SnapshotReceiver:
    """Slices of a snapshot received so far."""

    version: Version = Version(0)
    changes: list[Change] = field(default_factory=list)
    index: int = 0


def age(state: RelayState, now: float) -> float | None:
    """Return the seconds since the last confirmation; nothing if there was none."""
    return None if state.confirmed_at is None else max(0.0, now - state.confirmed_at)


def confirm(state: RelayState, at: float) -> None:
    """Record that the copy was complete at a time; an older one changes nothing."""
    if state.confirmed_at is None or at > state.confirmed_at:
        state.confirmed_at = at


def make_pull(state: RelayState, now: float) -> ttypes.Pull:
    """Return the question to the parent, with the versions in force below."""
    return ttypes.Pull(state.objects.version, current_reports(state, now))


def current_reports(state: RelayState, now: float) -> list[ttypes.HostReport]:
    """Return the host's own report and those that it holds."""
    held = dict(state.reports)
    held[state.host] = HostVersion(state.objects.version, age(state, now), now)
    return [
        ttypes.HostReport(
            host,
            report.version,
            -1 if report.age is None else round(report.age * 1000),
            round((now - report.heard) * 1000),
        )
        for host, report in held.items()
        if now - report.heard <= REPORT_SECONDS
    ]


def take_reports(
    state: RelayState, reports: list[ttypes.HostReport], now: float
) -> None:
    """Keep the newest report of each other host."""
    for report in reports:
        heard = now - max(0, report.heard_ms) / 1000
        known = state.reports.get(HostId(report.host))
        if report.host == state.host or now - heard > REPORT_SECONDS:
            continue
        newer = known is None or (heard, report.version) > (known.heard, known.version)
        if newer:
            seconds = None if report.age_ms < 0 else report.age_ms / 1000
            state.reports[HostId(report.host)] = HostVersion(
                Version(report.version), seconds, heard
            )
    for host, known in list(state.reports.items()):
        if now - known.heard > REPORT_SECONDS:
            del state.reports[host]


def answer_pull(state: RelayState, pull: ttypes.Pull, now: float) -> ttypes.PullAnswer:
    """Return what a host that pulls is missing."""
    take_reports(state, pull.reports or [], now)
    answer = ttypes.PullAnswer(state.objects.version, age_ms(state, now), None, False)
    if pull.version < state.objects.version:
        delta = make_delta(state.objects, Version(pull.version))
        if pull.version == 0 or delta is None or delta_bytes(delta) > MAX_DELTA_BYTES:
            answer.snapshot_needed = True
        else:
            answer.delta = encode_delta(delta)
    return answer


def delta_bytes(delta: Delta) -> int:
    """Return the size of the objects in a delta."""
    return sum(len(change.body or b"") for change in delta.changes)


def age_ms(state: RelayState, now: float) -> int:
    """Return the age as messages carry it; -1 if there was no confirmation."""
    seconds = age(state, now)
    return -1 if seconds is None else round(seconds * 1000)


def take_answer(
    state: RelayState, answer: ttypes.PullAnswer, sent_at: float
) -> tuple[Change, ...]:
    """Apply the answer to a pull.

    The confirmation is counted from when the pull was sent, so a delayed answer
    cannot make the copy appear fresher than it is. It counts only once the copy
    has reached the version that the answer speaks of.

    :returns: the changes that took effect
    """
    applied = None
    if answer.delta is not None:
        applied = apply_delta(state.objects, decode_delta(answer.delta))
    if answer.age_ms >= 0 and state.objects.version >= answer.version:
        confirm(state, sent_at - answer.age_ms / 1000)
    return applied or ()


def take_push(
    state: RelayState, message: ttypes.Delta
) -> tuple[tuple[Change, ...], bool]:
    """Apply a pushed delta.

    A push does not count as a confirmation, since its delay is not known.

    :returns: the changes that took effect, and whether a pull is needed because
        changes before the delta are missing
    """
    applied = apply_delta(state.objects, decode_delta(message))
    return applied or (), message.end > state.objects.version


def answer_slice(
    state: RelayState, request: ttypes.SliceRequest, now: float
) -> ttypes.Slice:
    """Return one slice of a snapshot."""
    # One snapshot serves several receivers; renewing it for each newer version would
    # make receivers that are half-way start again.
    expired = now - state.slices_at > SLICES_SECONDS
    if request.version == 0 and (expired or state.slices_version <= request.have):
        state.slices = make_slices(state.objects)
        state.slices_version = state.objects.version
        state.slices_at = now
    wanted = request.version or state.slices_version
    if wanted != state.slices_version or not 0 <= request.index < len(state.slices):
        return ttypes.Slice(request.version, request.index, 0, [])
    part = state.slices[request.index]
    changes = [encode_message(change) for change in part]
    return ttypes.Slice(wanted, request.index, len(state.slices), changes)


def next_slice(state: RelayState, receiver: SnapshotReceiver) -> ttypes.SliceRequest:
    """Return the request for the next missing slice."""
    return ttypes.SliceRequest(receiver.version, receiver.index, state.objects.version)


def take_slice(
    state: RelayState, receiver: SnapshotReceiver, part: ttypes.Slice
) -> tuple[Change, ...] | None:
    """Add a slice; the last one puts the snapshot in force.

    :returns: the changes that took effect, or nothing while slices are missing
    """
    if part.count == 0 or (receiver.version and part.version != receiver.version):
        receiver.version, receiver.index = Version(0), 0
        receiver.changes.clear()
        return None
    if part.index != receiver.index:
        return None
    receiver.version = Version(part.version)
    receiver.changes += [decode_change(change) for change in part.changes]
    receiver.index += 1
    if receiver.index < part.count:
        return None
    if receiver.version <= state.objects.version:
        return ()
    delta = snapshot_delta(state.objects, receiver.version, receiver.changes)
    return apply_delta(state.objects, delta) or ()


def encode_message(change: Change) -> ttypes.Change:
    """Return a change as a message."""
    return ttypes.Change(change.version, change.kind, change.name, change.body)


def decode_change(message: ttypes.Change) -> Change:
    """Return the change in a message."""
    return Change(Version(message.version), message.kind, message.name, message.body)


def encode_delta(delta: Delta) -> ttypes.Delta:
    """Return a delta as a message."""
    changes = [encode_message(change) for change in delta.changes]
    jumps = [ttypes.Jump(first, last) for first, last in delta.jumps]
    return ttypes.Delta(delta.start, delta.end, changes, jumps)


def decode_delta(message: ttypes.Delta) -> Delta:
    """Return the delta in a message."""
    changes = tuple(decode_change(change) for change in message.changes)
    jumps = tuple((Version(j.first), Version(j.last)) for j in message.jumps or ())
    return Delta(Version(message.start), Version(message.end), changes, jumps)
