"""Checks the promises of the platform's rules on what callers and runners saw."""

from __future__ import annotations

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

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.soak.callers import Callers
    from primroseford.soak.callers import SentRequest
    from primroseford.soak.fleet import SoakFleet
    from primroseford.soak.plan import PlannedFault

# The bounds are those of the sites' files.
STORE_CONTACT_SECONDS = 4.0
APPLY_SECONDS = 3.0
ROLLBACK_SECONDS = 0.25
CANCEL_SECONDS = 3.0
DEADLINE_TOLERANCE_SECONDS = 0.5
CONNECTION_LOSS_SECONDS = 0.2
STOP_ACCEPT_SECONDS = 3.0
"""A request that is sent this long after SIGTERM may be cut by the end."""
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
WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENTS + 1))
WHOLE_TEXT = "\n".join(f"token {number}" for number in range(1, EVENTS + 1))


@dataclass(frozen=True)
class FaultSpan:
    """A fault that was injected, with the local times of its begin and end."""

    fault: PlannedFault
    begin: float
    end: float


@dataclass(eq=False)
class RunRecord:
    """What a run left behind.

    :ivar runs: what runners ran, by request id
    """

    fleet: SoakFleet
    callers: Callers
    spans: list[FaultSpan] = field(default_factory=list)

    def runs(self) -> dict[str, list[tuple[str, float]]]:
        """Return (runner, local time in seconds) by request id, in no order.

        What a hostile runner got may have run there.
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
        """Return the ids of the requests that a hostile runner got."""
        instances = [
            instance for runner in self.fleet.runners for instance in runner.hostile
        ]
        return {
            request_id for instance in instances for request_id, _ in instance.arrivals
        }

    def overlaps_fault(
        self, begin: float, end: float, is_relevant: Callable[[PlannedFault], bool]
    ) -> bool:
        """Return whether a fault that counts was there at any time of a span."""
        return any(
            span.begin <= end and span.end >= begin and is_relevant(span.fault)
            for span in self.spans
        )

    def host_and_store_unaffected(self, sent: SentRequest) -> bool:
        """Return whether the host of a request was calm, and so was the store."""
        number = self.fleet.hosts.index(sent.host)

        def is_relevant(fault: PlannedFault) -> bool:
            if fault.kind in HOST_KINDS or fault.kind is FaultKind.STORE_LINK:
                return fault.target == number
            return fault.kind.name.startswith("STORE_")

        return not self.overlaps_fault(
            sent.sent_at - STORE_CONTACT_SECONDS, sent.ended_at, is_relevant
        )


def check_runs(record: RunRecord) -> list[str]:
    """Return requests that ran more often than allowed, or after a refusal."""
    problems = []
    runs = record.runs()
    for sent in record.callers.sent:
        count = len(runs[sent.id])
        if sent.kind in NON_REPEATABLE_KINDS and count > 1:
            problems.append(f"{_name(sent)} may run once and ran {count} times")
        if sent.status in NOT_RUN_STATUSES and count:
            problems.append(f"{_name(sent)} was refused and ran")
    return problems


def check_answers(record: RunRecord) -> list[str]:
    """Return answers that are not the runner's, or look complete and are not."""
    problems = []
    runs, sent_to_hostile_runner = record.runs(), record.sent_to_hostile_runner()
    for sent in record.callers.sent:
        if sent.status and sent.answer_id != sent.id:
            problems.append(f"{_name(sent)} has the id {sent.answer_id!r}")
        if sent.status != 200:
            continue
        names = {name for name, _ in runs[sent.id]}
        if sent.signature.removeprefix("sig-") not in names:
            problems.append(f"{_name(sent)} is signed {sent.signature!r}")
        if sent.kind in STREAM_KINDS:
            # A runner that breaks off inside an event has sent a part of it.
            events = sent.body.removesuffix(PARTIAL_EVENT)
            is_whole = sent.body == WHOLE_STREAM
            is_prefix = (
                WHOLE_STREAM.startswith(events) or sent.id in sent_to_hostile_runner
            )
            valid = is_whole if sent.complete else is_prefix
        else:
            valid = not sent.complete or sent.body.decode() in names
        if not valid:
            problems.append(f"{_name(sent)} has the body {sent.body!r}")
    return problems


def check_deadlines(record: RunRecord) -> list[str]:
    """Return requests without a final answer some time after their deadline."""
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
    """Return requests that were cut by a planned stop and by nothing else."""
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
            cut = not sent.complete and not _is_connect_error(sent)
            waited = sent.ended_at - sent.sent_at > CONNECTION_LOSS_SECONDS
            if unaffected and cut and (runs[sent.id] or waited):
                problems.append(f"{_name(sent)} was cut by a stop: {sent.reason}")
    return problems


def check_configuration(record: RunRecord) -> list[str]:
    """Return requests handled as by a configuration that is too old."""
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
            problems.append(f"{_name(sent)} was handled by an older configuration")
        if (
            outdated
            and sent.sent_at > seen.get(instance, float("inf")) + ROLLBACK_SECONDS
        ):
            problems.append(f"{_name(sent)} was handled by an older one than before")
        if not outdated and sent.status in (200, *ABSENT_STATUSES):
            seen.setdefault(instance, sent.ended_at)
    return problems


def check_jobs(record: RunRecord) -> list[str]:
    """Return what is wrong with batch jobs."""
    problems = []
    runs = record.runs()
    for job in record.callers.jobs:
        problems += [f"{job.id}: {problem}" for problem in job.problems]
        names = [f"{job.id}.{number}" for number in range(JOB_ITEMS)]
        ran = [at for name in names for _, at in runs[name]]
        refused = job.statuses and set(job.statuses) <= set(NOT_RUN_STATUSES)
        if refused and ran:
            problems.append(f"{job.id} was refused and ran")
        listed = [result["id"] for result in job.results]
        if len(set(listed)) < len(listed) or not set(listed) <= set(names):
            problems.append(f"{job.id} lists {listed}")
        wrong = [r for r in job.results if r["text"] != WHOLE_TEXT]
        if job.cancelled_at:
            late = [at for at in ran if at > job.cancelled_at + CANCEL_SECONDS]
            unaffected_since = job.cancelled_at - STORE_CONTACT_SECONDS
            if late and not record.overlaps_fault(
                unaffected_since, late[-1], lambda _: True
            ):
                problems.append(f"{job.id} ran {len(late)} items after its end")
        elif job.accepted and (wrong or len(listed) < JOB_ITEMS):
            problems.append(f"{job.id} has {len(listed)} results, wrong: {wrong}")
    return problems


def check_processes(record: RunRecord) -> list[str]:
    """Return hosts that failed by themselves."""
    problems = []
    for host in record.fleet.hosts:
        problems += [f"{host.name}: {problem}" for problem in host.unexpected_exits]
        for path in sorted(host.folder.glob(f"{host.name}-*")):
            if "Traceback" in path.read_text(errors="replace"):
                problems.append(f"{path.name} holds a traceback")
    return problems


CHECKS = (
    check_runs,
    check_answers,
    check_deadlines,
    check_planned_stops,
    check_configuration,
    check_jobs,
    check_processes,
)


def _is_connect_error(sent: SentRequest) -> bool:
    """Return whether the host surely has not read the request."""
    return aiohttp.ClientConnectorError.__name__ in sent.reason


def _name(sent: SentRequest) -> str:
    end = "complete" if sent.complete else "incomplete"
    return f"{sent.id} {sent.path} at {sent.host.name} ({sent.status}, {end})"
