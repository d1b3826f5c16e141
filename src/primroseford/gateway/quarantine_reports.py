"""Translates what hosts know of crashing prompts to and from heartbeats.

Times are sent as ages, since the clocks of the hosts differ.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.gateway.gen.messages.ttypes import CrashPart
from primroseford.gateway.gen.messages.ttypes import QuarantinedPart
from primroseford.gateway.gen.messages.ttypes import RunnerCrash
from primroseford.gateway.gen.messages.ttypes import ServedPart
from primroseford.gateway.runners import RunnerKey
from primroseford.ids import PromptPartId
from primroseford.ids import RunnerName
from primroseford.quarantine.evidence import CRASH_RETENTION_SECONDS
from primroseford.quarantine.state import QuarantineRecord

if TYPE_CHECKING:
    from primroseford.gateway.gen.messages.ttypes import Heartbeat
    from primroseford.quarantine.state import Quarantine

MAX_OVERDUE_MS = 24 * 60 * 60 * 1000
"""Longest reported time since a trial is due. All hosts count their turns to try a part
from the same moment, also those that learn of it late."""


def fill_heartbeat(quarantine: Quarantine, heartbeat: Heartbeat) -> None:
    """Add this host's knowledge to its heartbeat."""
    now = quarantine.clock()
    active = quarantine.active()
    evidence = quarantine.evidence
    heartbeat.crashes = [
        RunnerCrash(
            runner.name,
            runner.born,
            _milliseconds(now - at),
            [CrashPart(part, position) for part, position in parts.items()],
        )
        for runner, at, parts in evidence.reported_crashes(active, now)
    ]
    heartbeat.served = [
        ServedPart(part, _milliseconds(now - at))
        for part, at in evidence.reported_served_parts(active, now)
    ]
    heartbeat.quarantined = [
        QuarantinedPart(
            record.part,
            record.generation,
            _milliseconds(record.trial_at - now, -MAX_OVERDUE_MS),
            _milliseconds(record.trial_seconds),
            record.lifted,
        )
        for record in quarantine.reported_records()
    ]


def apply_heartbeat(quarantine: Quarantine, heartbeat: Heartbeat) -> None:
    """Merge the knowledge of another host."""
    now = quarantine.clock()
    for crash in heartbeat.crashes or ():
        age = crash.age_ms / 1000
        if age <= CRASH_RETENTION_SECONDS:
            runner = RunnerKey(RunnerName(crash.runner), crash.born)
            parts = {PromptPartId(p.part): p.position for p in crash.parts}
            quarantine.evidence.add_crash(runner, now - age, parts, now)
    for served in heartbeat.served or ():
        quarantine.evidence.merge_served(
            PromptPartId(served.part), now - served.age_ms / 1000
        )
    for part in heartbeat.quarantined or ():
        quarantine.apply(
            QuarantineRecord(
                PromptPartId(part.part),
                part.generation,
                now + part.trial_in_ms / 1000,
                part.trial_ms / 1000,
                part.lifted,
            )
        )


def _milliseconds(seconds: float, least: int = 0) -> int:
    return max(least, round(seconds * 1000))
