"""Items that are held because a part of their prompt is quarantined."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Collection

    from primroseford.ids import PromptPartId
    from primroseford.jobs.run import ItemRun
    from primroseford.jobs.run import JobRun
    from primroseford.quarantine.state import Quarantine

log = structlog.get_logger()


def is_held(quarantine: Quarantine, item: ItemRun) -> bool:
    """Return whether an item may not start because of a quarantine.

    A held item may start as a trial.
    """
    record = quarantine.active_record(item.shared_parts)
    if item.held != (record is not None):
        item.held = record is not None
        if not item.held and item.interruptions:
            # What ended its runs was the quarantined part.
            item.interruptions, item.not_before = 0, -math.inf
        log.info(
            "item held" if item.held else "item released",
            item=item.item.id,
            job=item.job.id,
            part=record.part if record else None,
        )
    return item.held and quarantine.blocking_record(item.shared_parts) is not None


def held_parts(quarantine: Quarantine, runs: Collection[JobRun]) -> set[PromptPartId]:
    """Return the quarantined parts of the waiting items."""
    active = quarantine.active()
    if not active:
        return set()
    return {
        part
        for run in runs
        for item in run.waiting
        if item.held
        for part in item.shared_parts
        if part in active
    }
