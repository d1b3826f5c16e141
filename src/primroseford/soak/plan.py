"""Plans the faults of a run; the same seed gives the same plan."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from primroseford.standins.hostile_runner import ResponseFault

MEAN_GAP_SECONDS = 0.7
"""Mean time between two faults; with durations of up to 4 s, several overlap."""
DURATION_SECONDS = (0.2, 4.0)
"""Shortest and longest duration of a fault: below and above all timeouts of a host
except that of the stop."""
SAME_TARGET_PROBABILITY = 0.25
"""Probability that a fault has the same target as the previous one."""
MEAN_HOSTILE_GAP_SECONDS = 5.0
"""Mean time between two hostile runners: most of the time one of four is hostile."""
FAULT_FREE_SECONDS = 1.0
"""Time without faults at the start of a run, so that faults hit open requests."""


class FaultKind(Enum):
    """Kinds of injected faults and changes."""

    HOST_STOP = "host_stop"
    HOST_KILL = "host_kill"
    HOST_PAUSE = "host_pause"
    HOST_RELOAD = "host_reload"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_REFUSES = "store_refuses"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_LOSES_WRITES = "store_loses_writes"
    STORE_ENDS_WATCHES = "store_ends_watches"
    STORE_HOLDS_WATCHES = "store_holds_watches"
    STORE_FORGETS_HISTORY = "store_forgets_history"
    STORE_LINK = "store_link"
    RUNNER_LINK = "runner_link"
    RUNNER_REFUSES = "runner_refuses"
    RUNNER_CUTS_STREAMS = "runner_cuts_streams"
    RUNNER_SILENT = "runner_silent"
    RUNNER_WRONG_ID = "runner_wrong_id"
    RUNNER_UNSIGNED = "runner_unsigned"
    RUNNER_CRASH = "runner_crash"
    RUNNER_DRAINED = "runner_drained"
    RUNNER_HOSTILE = "runner_hostile"
    CONFIGURATION = "configuration"
    KEY_WITHDRAWN = "key_withdrawn"


class LinkFault(Enum):
    """Faults of a proxy's connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    CUT_TO_SERVER = "cut_to_server"
    CUT_TO_CLIENT = "cut_to_client"


SOFTWARE_VERSIONS = ("v1", "v2")
"""Versions of the runners' software."""
HEARTBEAT_SECONDS = 1.2
"""Interval of the heartbeats of runners (``heartbeat_ms`` of the sites)."""
LINK_KINDS = (FaultKind.STORE_LINK, FaultKind.RUNNER_LINK)
RUNNER_KINDS = tuple(kind for kind in FaultKind if kind.name.startswith("RUNNER_"))
HOSTILE_RESPONSE_FAULTS = tuple(
    response_fault
    for response_fault in ResponseFault
    if response_fault
    not in (
        ResponseFault.CLOSE_WITHOUT_LENGTH,
        ResponseFault.EVENT_ENDS_EARLY,
        ResponseFault.SURPLUS,
        ResponseFault.SECOND_ANSWER,
        ResponseFault.SLOW,
        ResponseFault.LARGE_AT_ONCE,
        ResponseFault.LARGE_CHUNKS_AT_ONCE,
        ResponseFault.ENDLESS_SMALL_CHUNKS,
        ResponseFault.ENDLESS_AFTER_END_MARK,
        ResponseFault.ENDLESS_ERROR,
        ResponseFault.STATUS_000,
        ResponseFault.STATUS_099,
        ResponseFault.STATUS_600,
        ResponseFault.STATUS_999,
    )
)
"""Faults without a complete response, so that a complete response that a caller
receives comes from a correct runner. ``EVENT_ENDS_EARLY`` and those from
``ENDLESS_SMALL_CHUNKS`` on are left out so that the seeds of earlier runs keep their
plans."""
ACTIVE_LINK_FAULTS = tuple(fault for fault in LinkFault if fault is not LinkFault.NONE)


@dataclass(frozen=True)
class PlannedFault:
    """One fault.

    :param at: start of the fault in seconds after the start of the run
    :param duration: duration in seconds; unused for faults without an end
    :param target: number of the host or runner
    :param link: fault of the link, for link faults
    :param response_fault: fault of a hostile runner's responses
    """

    at: float
    duration: float
    kind: FaultKind
    target: int
    link: LinkFault = LinkFault.NONE
    response_fault: ResponseFault | None = None


def create_plan(
    seed: int, seconds: float, hosts: int, runners: int
) -> list[PlannedFault]:
    """Return the faults of a run, ordered by time.

    :param seconds: time within which faults begin
    """
    random = Random(seed)
    kinds = [kind for kind in FaultKind if kind is not FaultKind.RUNNER_HOSTILE]
    plan: list[PlannedFault] = []
    at = FAULT_FREE_SECONDS
    while at < seconds:
        kind = random.choice(kinds)
        count = runners if kind in RUNNER_KINDS else hosts
        target = random.randrange(count)
        if plan and random.random() < SAME_TARGET_PROBABILITY:
            target = plan[-1].target % count
        link = (
            random.choice(ACTIVE_LINK_FAULTS) if kind in LINK_KINDS else LinkFault.NONE
        )
        duration = random.uniform(*DURATION_SECONDS)
        plan.append(PlannedFault(at, duration, kind, target, link))
        at += random.expovariate(1 / MEAN_GAP_SECONDS)
    plan += _plan_hostile(seed, seconds, runners)
    return sorted(plan, key=lambda fault: fault.at)


def software_version(seed: int, runner: str, start: int) -> str:
    """Return the version of a runner's software after a number of starts.

    A restart can change it. It depends neither on the other runners nor on the faults,
    which keep the plan of their seed.
    """
    return Random(f"version {seed} {runner} {start}").choice(SOFTWARE_VERSIONS)


def registration_delay(seed: int, runner: str, start: int) -> float:
    """Return the time from a runner's start until it registers, in seconds.

    A runner writes its entry at its heartbeats. The delay depends neither on the other
    runners nor on the faults, which keep the plan of their seed.
    """
    random = Random(f"registration {seed} {runner} {start}")
    return random.uniform(0, HEARTBEAT_SECONDS)


def _plan_hostile(seed: int, seconds: float, runners: int) -> list[PlannedFault]:
    """Return the faults with hostile runners.

    A separate random generator keeps the other faults of a seed as they were before
    hostile runners were added, so that recorded seeds still reproduce their failures.
    """
    random = Random(f"hostile {seed}")
    plan: list[PlannedFault] = []
    at = FAULT_FREE_SECONDS + random.expovariate(1 / MEAN_HOSTILE_GAP_SECONDS)
    while at < seconds:
        duration = random.uniform(*DURATION_SECONDS)
        target, response_fault = (
            random.randrange(runners),
            random.choice(HOSTILE_RESPONSE_FAULTS),
        )
        kind = FaultKind.RUNNER_HOSTILE
        plan.append(
            PlannedFault(at, duration, kind, target, LinkFault.NONE, response_fault)
        )
        at += random.expovariate(1 / MEAN_HOSTILE_GAP_SECONDS)
    return plan
