"""The relay protocol between hosts, as functions on a host's state without I/O."""

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

REPORT_LIFETIME_SECONDS = 30.0
"""A report that is not renewed within this time is dropped."""

SNAPSHOT_LIFETIME_SECONDS = 30.0
"""Time for which a sender keeps the slices of one snapshot for its receivers."""

MAX_DELTA_BYTES = 1024 * 1024
"""A larger delta is not sent; the receiver loads a snapshot in slices instead."""


@dataclass(frozen=True)
class HostVersion:
    """Report of the version that is in force on a host.

    :param version: version in force
    :param age: seconds since the platform confirmed it; none if it never did
    :param reported_at: time of the report on the clock of the host that stores it
    """

    version: Version
    age: float | None
    reported_at: float


@dataclass
class RelayState:
    """A host's copy of the configuration, its age, and reports of other hosts.

    :param confirmed_at: last time at which the copy is known to have been complete
    :param reports: versions in force on the hosts below in the tree
    :param slices: slices of the last requested snapshot
    :param slices_version: version of that snapshot
    :param slices_at: time at which it was taken
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
    """Changes of the snapshot slices received so far."""

    version: Version = Version(0)
    changes: list[Change] = field(default_factory=list)
    index: int = 0


def age(state: RelayState, now: float) -> float | None:
    """Return the seconds since the last confirmation; none if there was none."""
    return None if state.confirmed_at is None else max(0.0, now - state.confirmed_at)


def confirm(state: RelayState, at: float) -> None:
    """Record that the copy was complete at a time; an older time is ignored."""
    if state.confirmed_at is None or at > state.confirmed_at:
        state.confirmed_at = at


def make_pull(state: RelayState, now: float) -> ttypes.Pull:
    """Return a pull request for the parent, with the reports of the hosts below."""
    return ttypes.Pull(state.objects.version, current_reports(state, now))


def current_reports(state: RelayState, now: float) -> list[ttypes.HostReport]:
    """Return the host's own report and the stored ones that have not expired."""
    host_reports = dict(state.reports)
    host_reports[state.host] = HostVersion(state.objects.version, age(state, now), now)
    return [
        ttypes.HostReport(
            host,
            report.version,
            -1 if report.age is None else round(report.age * 1000),
            round((now - report.reported_at) * 1000),
        )
        for host, report in host_reports.items()
        if now - report.reported_at <= REPORT_LIFETIME_SECONDS
    ]


def merge_reports(
    state: RelayState, reports: list[ttypes.HostReport], now: float
) -> None:
    """Keep the newest report of each other host."""
    for report in reports:
        reported_at = now - max(0, report.heard_ms) / 1000
        previous = state.reports.get(HostId(report.host))
        if report.host == state.host or now - reported_at > REPORT_LIFETIME_SECONDS:
            continue
        newer = previous is None or (reported_at, report.version) > (
            previous.reported_at,
            previous.version,
        )
        if newer:
            seconds = None if report.age_ms < 0 else report.age_ms / 1000
            state.reports[HostId(report.host)] = HostVersion(
                Version(report.version), seconds, reported_at
            )
    for host, previous in list(state.reports.items()):
        if now - previous.reported_at > REPORT_LIFETIME_SECONDS:
            del state.reports[host]


def answer_pull(state: RelayState, pull: ttypes.Pull, now: float) -> ttypes.PullAnswer:
    """Answer a pull with the delta that the sender lacks, or require a snapshot."""
    merge_reports(state, pull.reports or [], now)
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
    """Return the age in milliseconds; -1 if there was no confirmation."""
    seconds = age(state, now)
    return -1 if seconds is None else round(seconds * 1000)


def apply_pull_answer(
    state: RelayState, answer: ttypes.PullAnswer, sent_at: float
) -> tuple[Change, ...]:
    """Apply the answer to a pull.

    The age is counted from the time at which the pull was sent, so a delayed answer
    cannot make the copy appear fresher than it is. The confirmation counts only if the
    copy has reached the version of the answer.

    :returns: the changes that took effect
    """
    applied = None
    if answer.delta is not None:
        applied = apply_delta(state.objects, decode_delta(answer.delta))
    if answer.age_ms >= 0 and state.objects.version >= answer.version:
        confirm(state, sent_at - answer.age_ms / 1000)
    return applied or ()


def apply_push(
    state: RelayState, message: ttypes.Delta
) -> tuple[tuple[Change, ...], bool]:
    """Apply a pushed delta.

    A push does not count as a confirmation, because its delay is unknown.

    :returns: the changes that took effect, and whether a pull is needed because
        changes before the delta are missing
    """
    applied = apply_delta(state.objects, decode_delta(message))
    return applied or (), message.end > state.objects.version


def answer_slice(
    state: RelayState, request: ttypes.SliceRequest, now: float
) -> ttypes.Slice:
    """Return one slice of a snapshot."""
    # One snapshot serves several receivers; a new snapshot for each newer version would
    # force receivers with some of the slices to restart.
    expired = now - state.slices_at > SNAPSHOT_LIFETIME_SECONDS
    if request.version == 0 and (expired or state.slices_version <= request.have):
        state.slices = make_slices(state.objects)
        state.slices_version = state.objects.version
        state.slices_at = now
    wanted = request.version or state.slices_version
    if wanted != state.slices_version or not 0 <= request.index < len(state.slices):
        return ttypes.Slice(request.version, request.index, 0, [])
    slice_changes = state.slices[request.index]
    changes = [encode_change_message(change) for change in slice_changes]
    return ttypes.Slice(wanted, request.index, len(state.slices), changes)


def next_slice_request(
    state: RelayState, receiver: SnapshotReceiver
) -> ttypes.SliceRequest:
    """Return the request for the next missing slice."""
    return ttypes.SliceRequest(receiver.version, receiver.index, state.objects.version)


def receive_slice(
    state: RelayState, receiver: SnapshotReceiver, slice_message: ttypes.Slice
) -> tuple[Change, ...] | None:
    """Add a slice; after the last one, apply the snapshot.

    :returns: the changes that took effect, or none while slices are missing
    """
    if slice_message.count == 0 or (
        receiver.version and slice_message.version != receiver.version
    ):
        receiver.version, receiver.index = Version(0), 0
        receiver.changes.clear()
        return None
    if slice_message.index != receiver.index:
        return None
    receiver.version = Version(slice_message.version)
    receiver.changes += [
        decode_change_message(change) for change in slice_message.changes
    ]
    receiver.index += 1
    if receiver.index < slice_message.count:
        return None
    if receiver.version <= state.objects.version:
        return ()
    delta = snapshot_delta(state.objects, receiver.version, receiver.changes)
    return apply_delta(state.objects, delta) or ()


def encode_change_message(change: Change) -> ttypes.Change:
    """Encode a change as a message."""
    return ttypes.Change(change.version, change.kind, change.name, change.body)


def decode_change_message(message: ttypes.Change) -> Change:
    """Decode a change from a message."""
    return Change(Version(message.version), message.kind, message.name, message.body)


def encode_delta(delta: Delta) -> ttypes.Delta:
    """Encode a delta as a message."""
    changes = [encode_change_message(change) for change in delta.changes]
    jumps = [ttypes.Jump(first, last) for first, last in delta.jumps]
    return ttypes.Delta(delta.start, delta.end, changes, jumps)


def decode_delta(message: ttypes.Delta) -> Delta:
    """Decode a delta from a message."""
    changes = tuple(decode_change_message(change) for change in message.changes)
    jumps = tuple((Version(j.first), Version(j.last)) for j in message.jumps or ())
    return Delta(Version(message.start), Version(message.end), changes, jumps)
