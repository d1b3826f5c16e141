"""Gives up the items of this host's jobs at their time limit or without a route."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

from primroseford.jobs.state import ItemState

if TYPE_CHECKING:
    from primroseford.gateway.state import Gateway
    from primroseford.gateway.tables import Route
    from primroseford.jobs.run import JobRun
    from primroseford.jobs.scheduler import JobScheduler
    from primroseford.jobs.state import Job

CLOCK_SKEW_SECONDS = 3.0
"""Allowance for the difference between the hosts' wall clocks before an item is
abandoned."""

log = structlog.get_logger()


def abandon_at(job: Job, route: Route) -> float:
    """Return the Unix time at which the items of a job are abandoned."""
    return job.submitted + route.abandon_after + CLOCK_SKEW_SECONDS


def abandon_items(scheduler: JobScheduler) -> None:
    """Dead-letter items past their time limit or with a removed route.

    These are the waiting ones and those whose result the store refuses.
    """
    for run in list(scheduler.runs.values()):
        with scheduler.isolation.step("abandon_items", run.view.job.id):
            _abandon_items_of(scheduler, run)


def _abandon_items_of(scheduler: JobScheduler, run: JobRun) -> None:
    job = run.view.job
    route = scheduler.route_of(job)
    if route is None:
        should_abandon = _is_route_removed(scheduler.gateway, job)
    else:
        should_abandon = time.time() >= abandon_at(job, route)
    refused = [item for item in run.finished if item.commit_after is not None]
    if not should_abandon or not (run.waiting or refused):
        return
    for item in [*run.waiting, *refused]:
        item.result, item.commit_after = ItemState.DEAD_LETTER, None
    log.warning(
        "items abandoned",
        job=job.id,
        count=len(run.waiting) + len(refused),
        refused=len(refused),
        reason="time" if route else "route",
    )
    run.finished += run.waiting
    run.waiting = []
    scheduler.recorder.schedule_commit(run)


def _is_route_removed(gateway: Gateway, job: Job) -> bool:
    """Return whether a job's route is known to be removed.

    A host that has just started has no configuration yet, and after a network partition
    its configuration may be older than the job. So the platform must have confirmed the
    configuration after the job was submitted.
    """
    if gateway.tables is None:
        return False
    confirmed_ago = gateway.clock() - gateway.confirmed_at
    return confirmed_ago + CLOCK_SKEW_SECONDS < time.time() - job.submitted
