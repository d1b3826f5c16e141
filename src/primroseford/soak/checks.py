"""Checks the platform's guarantees against the records of callers and runners."""

from __future__ import annotations

import re
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import aiohttp

from primroseford.soak.callers import DEADLINE_SECONDS
from primroseford.soak.callers import JOB_ITEMS
from primroseford.soak.callers import RequestKind
from primroseford.soak.fleet import EVENTS
from primroseford.soak.plan import FaultKind
from primroseford.standins.fleet_runner import PARTIAL_EVENT
from primroseford.standins.fleet_runner import event
from primroseford.standins.fleet_runner import event_version

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.soak.callers import Callers
    from primroseford.soak.callers import SentRequest
    from primroseford.soak.fleet import SoakFleet
    from primroseford.soak.plan import PlannedFault

# The bounds are those in the settings files of the sites.
STORE_CONTACT_SECONDS = 4.0
APPLY_SECONDS = 3.0
ROLLBACK_SECONDS = 0.25
CANCEL_SECONDS = 3.0
DEADLINE_TOLERANCE_SECONDS = 0.5
CONNECTION_LOSS_SECONDS = 0.2
STOP_ACCEPT_SECONDS = 3.0
"""A request sent later than this after SIGTERM may be interrupted by the stop."""
NOT_RUN_STATUSES = (408, 421, 429, 503)
ABSENT_STATUSES = (401, 403, 404)
NON_REPEATABLE_KINDS = (RequestKind.ONCE, RequestKind.STREAM_ONCE)
STREAM_KINDS = (RequestKind.STREAM_ONCE, RequestKind.STREAM_RESUMABLE)
HOST_KINDS = (FaultKind.HOST_STOP, FaultKind.HOST_KILL, FaultKind.HOST_PAUSE)
PLANNED_KINDS = (
    FaultKind.HOST_RELOAD,
    FaultKind.CONFIGURATION,
    FaultKind.KEY_WITHDRAWN,
)
TOKEN = "token"
"""Text of the data of each event."""
VERSION = re.compile(rb"@(v2|v?$)")
"""Version in an event, which a broken stream can cut off."""
WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENTS + 1))
WHOLE_TEXT = "\n".join(f"token {number}" for number in range(1, EVENTS + 1))


@dataclass(frozen=True)
class FaultSpan:
    """An injected fault with its begin and end on the monotonic clock, in seconds."""

    fault: PlannedFault
    begin: float
    end: float


@dataclass(eq=False)
class RunRecord:
    """The record of a run: fleet, callers and injected faults.

    :ivar spans: injected faults with their times
    """

    fleet: SoakFleet
    callers: Callers
    spans: list[FaultSpan] = field(default_factory=list)

    def runs(self) -> dict[str, list[tuple[str, float]]]:
        """Return the executions by request id as (runner, time in seconds), unordered.

        A request that a hostile runner received counts as executed there.
        """
        found = defaultdict(list)
        for runner in self.fleet.runners:
            for instance in runner.runs:
                for received in instance.received:
                    found[received.request_id].append((runner.name, received.at))
            for instance in runner.hostile:
                for request_id, at in instance.arrivals:
                    found[request_id].append((runner.name, at))
        return found

    def sent_to_hostile_runner(self) -> set[str]:
        """Return the ids of the requests that a hostile runner received."""
        instances = [
            instance for runner in self.fleet.runners for instance in runner.hostile
        ]
        return {
            request_id for instance in instances for request_id, _ in instance.arrivals
        }

    def overlaps_fault(
        self, begin: float, end: float, is_relevant: Callable[[PlannedFault], bool]
    ) -> bool:
        """Return whether a relevant fault overlaps with a time span."""
        return any(
            span.begin <= end and span.end >= begin and is_relevant(span.fault)
            for span in self.spans
        )

    def host_and_store_unaffected(self, sent: SentRequest) -> bool:
        """Return whether no fault affected the request's host or its store calls."""
        number = self.fleet.hosts.index(sent.host)

        def is_relevant(fault: PlannedFault) -> bool:
            if fault.kind in HOST_KINDS or fault.kind is FaultKind.STORE_LINK:
                return fault.target == number
            return fault.kind.name.startswith("STORE_")

        return not self.overlaps_fault(
            sent.sent_at - STORE_CONTACT_SECONDS, sent.ended_at, is_relevant
        )


def without_versions(events: bytes) -> bytes:
    """Return events as runners of the default version write them.

    The last event can be incomplete.
    """
    return VERSION.sub(b"", events)


def check_runs(record: RunRecord) -> list[str]:
    """Return requests that were executed too often or in spite of a rejection."""
    problems = []
    runs = record.runs()
    for sent in record.callers.sent:
        count = len(runs[sent.id])
        if sent.kind in NON_REPEATABLE_KINDS and count > 1:
            problems.append(f"{_name(sent)} may run once and ran {count} times")
        if sent.status in NOT_RUN_STATUSES and count:
            problems.append(f"{_name(sent)} was rejected and ran")
    return problems


def check_answers(record: RunRecord) -> list[str]:
    """Return responses that differ from the runner's or are falsely complete."""
    problems = []
    runs, sent_to_hostile_runner = record.runs(), record.sent_to_hostile_runner()
    for sent in record.callers.sent:
        if sent.status and sent.response_id != sent.id:
            problems.append(f"{_name(sent)} has the id {sent.response_id!r}")
        if sent.status != 200:
            continue
        names = {name for name, _ in runs[sent.id]}
        if sent.signature.removeprefix("sig-") not in names:
            problems.append(f"{_name(sent)} is signed {sent.signature!r}")
        if sent.kind in STREAM_KINDS:
            valid = _is_valid_stream(sent, sent_to_hostile_runner)
        else:
            valid = not sent.complete or sent.body.decode() in names
        if not valid:
            problems.append(f"{_name(sent)} has the body {sent.body!r}")
    return problems


def _is_valid_stream(sent: SentRequest, sent_to_hostile_runner: set[str]) -> bool:
    """Return whether a stream has the right events, and all if it looks complete."""
    stream, own = without_versions(sent.stream()), without_versions(sent.body)
    if any(tried.id in sent_to_hostile_runner for tried in sent.resumed):
        # A hostile runner decided where the stream is resumed.
        own = own.removesuffix(PARTIAL_EVENT)
        valid = WHOLE_STREAM.endswith(own) if sent.complete else own in WHOLE_STREAM
        return valid or (not sent.complete and sent.id in sent_to_hostile_runner)
    if sent.complete:
        return stream == WHOLE_STREAM
    # A runner that interrupts a stream has sent part of the next event.
    events = stream.removesuffix(PARTIAL_EVENT)
    return WHOLE_STREAM.startswith(events) or sent.id in sent_to_hostile_runner


def check_deadlines(record: RunRecord) -> list[str]:
    """Return requests whose response ended after the deadline and its tolerance."""
    problems = []
    for sent in record.callers.sent:
        taken = sent.ended_at - sent.sent_at
        number = record.fleet.hosts.index(sent.host)

        def paused(fault: PlannedFault, number: int = number) -> bool:
            return fault.kind is FaultKind.HOST_PAUSE and fault.target == number

        late = taken > DEADLINE_SECONDS + DEADLINE_TOLERANCE_SECONDS
        if late and not record.overlaps_fault(sent.sent_at, sent.ended_at, paused):
            problems.append(f"{_name(sent)} took {taken:.2f} s")
    return problems


def check_planned_stops(record: RunRecord) -> list[str]:
    """Return requests that were interrupted by a planned stop and no other fault."""
    problems = []
    runs = record.runs()
    for span in record.spans:
        if span.fault.kind is not FaultKind.HOST_STOP:
            continue
        host = record.fleet.hosts[span.fault.target]

        def unplanned(fault: PlannedFault, own: PlannedFault = span.fault) -> bool:
            return fault is not own and fault.kind not in PLANNED_KINDS

        for sent in record.callers.sent:
            if sent.host is not host or not (
                span.begin - DEADLINE_SECONDS
                <= sent.sent_at
                <= span.begin + STOP_ACCEPT_SECONDS
                and sent.ended_at >= span.begin
            ):
                continue
            unaffected = not record.overlaps_fault(
                sent.sent_at - STORE_CONTACT_SECONDS, sent.ended_at, unplanned
            )
            interrupted = not sent.complete and not _is_connect_error(sent)
            waited = sent.ended_at - sent.sent_at > CONNECTION_LOSS_SECONDS
            if unaffected and interrupted and (runs[sent.id] or waited):
                problems.append(
                    f"{_name(sent)} was interrupted by a stop: {sent.reason}"
                )
    return problems


def check_configuration(record: RunRecord) -> list[str]:
    """Return requests that were handled with an outdated configuration."""
    problems = []
    versions = record.fleet.versions
    seen: dict[tuple[str, int, str], float] = {}
    runs = record.runs()
    for sent in sorted(record.callers.sent, key=lambda s: s.sent_at):
        if sent.kind is RequestKind.ADDED:
            prefix = "/" + sent.path.split("/")[1] + "/"
            since = versions.routes[prefix]
            outdated = sent.status in ABSENT_STATUSES
        elif sent.kind is RequestKind.WITHDRAWN_KEY:
            prefix = sent.key
            since = versions.keys[sent.key]
            outdated = bool(runs[sent.id])
        else:
            continue
        instance = (sent.host.name, sent.start, prefix)
        late = sent.sent_at > since + APPLY_SECONDS
        if outdated and late and record.host_and_store_unaffected(sent):
            problems.append(f"{_name(sent)} was handled with an older configuration")
        if (
            outdated
            and sent.sent_at > seen.get(instance, float("inf")) + ROLLBACK_SECONDS
        ):
            problems.append(
                f"{_name(sent)} was handled with an older configuration than before"
            )
        if not outdated and sent.status in (200, *ABSENT_STATUSES):
            seen.setdefault(instance, sent.ended_at)
    return problems


def check_jobs(record: RunRecord) -> list[str]:
    """Return problems of batch jobs."""
    problems = []
    runs = record.runs()
    for job in record.callers.jobs:
        problems += [f"{job.id}: {problem}" for problem in job.problems]
        item_ids = [f"{job.id}.{number}" for number in range(JOB_ITEMS)]
        execution_times = [at for name in item_ids for _, at in runs[name]]
        rejected = job.statuses and set(job.statuses) <= set(NOT_RUN_STATUSES)
        if rejected and execution_times:
            problems.append(f"{job.id} was rejected and ran")
        result_ids = [result["id"] for result in job.results]
        if len(set(result_ids)) < len(result_ids) or not set(result_ids) <= set(
            item_ids
        ):
            problems.append(f"{job.id} has duplicate or unknown results: {result_ids}")
        wrong = [
            result
            for result in job.results
            if without_versions(result["text"].encode()) != WHOLE_TEXT.encode()
        ]
        if job.cancelled_at:
            late = [
                at for at in execution_times if at > job.cancelled_at + CANCEL_SECONDS
            ]
            unaffected_since = job.cancelled_at - STORE_CONTACT_SECONDS
            if late and not record.overlaps_fault(
                unaffected_since, late[-1], lambda _: True
            ):
                problems.append(
                    f"{job.id} ran {len(late)} items after its cancellation"
                )
        # A host may have stored a cancellation and been killed before it answered.
        cancelled = job.cancellation_sent and record.fleet.is_cancelled(job.id)
        missing = len(result_ids) < JOB_ITEMS and not cancelled
        if not job.cancelled_at and job.accepted and (wrong or missing):
            problems.append(f"{job.id} has {len(result_ids)} results, wrong: {wrong}")
    return problems


def check_versions(record: RunRecord) -> list[str]:
    """Return streams and texts with events of runners of several software versions."""
    problems = []
    sent_to_hostile_runner = record.sent_to_hostile_runner()
    for sent in record.callers.sent:
        ids = {sent.id, *(tried.id for tried in sent.resumed)}
        if sent.kind not in STREAM_KINDS or ids & sent_to_hostile_runner:
            continue
        events = (tried.events() for tried in (*sent.resumed, sent))
        versions = _versions(b"".join(events).decode())
        if sent.events() and len(versions) > 1:
            tries = len(sent.resumed) + 1
            problems.append(f"{_name(sent)}, try {tries}, has events of {versions}")
    for job in record.callers.jobs:
        for result in job.results:
            versions = _versions(result["text"])
            if result["id"] not in sent_to_hostile_runner and len(versions) > 1:
                problems.append(f"item {result['id']} has events of {versions}")
    return problems


def check_processes(record: RunRecord) -> list[str]:
    """Return unexpected exits of hosts and tracebacks in their logs."""
    problems = []
    for host in record.fleet.hosts:
        problems += [f"{host.name}: {problem}" for problem in host.unexpected_exits]
        for path in sorted(host.folder.glob(f"{host.name}-*")):
            if "Traceback" in path.read_text(errors="replace"):
                problems.append(f"{path.name} contains a traceback")
    return problems


CHECKS = (
    check_runs,
    check_answers,
    check_deadlines,
    check_planned_stops,
    check_configuration,
    check_jobs,
    check_versions,
    check_processes,
)


def _versions(text: str) -> list[str]:
    """Return the versions of the lines with the data of events."""
    lines = [line for line in text.split("\n") if TOKEN in line]
    return sorted({event_version(line) for line in lines})


def _is_connect_error(sent: SentRequest) -> bool:
    """Return whether connecting failed, so that the host has not read the request."""
    return aiohttp.ClientConnectorError.__name__ in sent.reason


def _name(sent: SentRequest) -> str:
    end = "complete" if sent.complete else "incomplete"
    return f"{sent.id} {sent.path} at {sent.host.name} ({sent.status}, {end})"
