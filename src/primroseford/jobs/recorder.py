"""Stores the results and the progress of this host's jobs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.jobs.isolation import MAX_REASON_LENGTH
from primroseford.jobs.isolation import Isolation
from primroseford.jobs.state import ItemResult
from primroseford.jobs.state import ItemState
from primroseford.jobs.store import first_segment
from primroseford.jobs.store import fitting_progress

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from primroseford.gateway.state import Gateway
    from primroseford.jobs.run import ItemRun
    from primroseford.jobs.run import JobRun
    from primroseford.jobs.state import ItemId
    from primroseford.jobs.state import JobView
    from primroseford.jobs.state import Progress
    from primroseford.jobs.store import JobStore

CHECKPOINT_INTERVAL_SECONDS = 2.0
"""Minimum time between two checkpoints of a job: less than half of an item's run time,
at the cost of one write."""
CHECKPOINT_EVENTS = 100
"""Minimum number of new events that justify the write of a checkpoint: about half of an
item."""
COMMIT_RETRY_SECONDS = 0.3
"""Delay before a failed commit is retried."""
COMMIT_BATCH_DELAY_SECONDS = 0.4
"""Time for which finished items wait for others of their job, so that one write commits
them all: a fiftieth of the time limit of an item."""
FINAL_REFUSALS = frozenset({ResultCode.BODY_TOO_LARGE, ResultCode.MALFORMED})
"""Codes of writes that the store refuses because of their content."""
RESUME_DELAY_SECONDS = 1.0
"""Time for which a job has results and no task that commits them before one is started:
also the delay of a retry after an unexpected error."""
REFUSED_RETRY_SECONDS = 5.0
"""Delay before a result that the store refused because of its content is written again:
another version of the store may accept it."""

log = structlog.get_logger()


class JobRecorder:
    """Writes results and progress to the platform's store, in the background.

    :param store: jobs in the platform's store
    :param finish: called with a job whose items all have committed results
    :ivar background: writes in progress
    """

    def __init__(
        self, gateway: Gateway, store: JobStore, finish: Callable[[JobRun], None]
    ) -> None:
        self.gateway = gateway
        self.store = store
        self.finish = finish
        self.background: set[asyncio.Task] = set()
        self.isolation = Isolation(gateway.clock)

    def save_progress(self, runs: Iterable[JobRun]) -> None:
        """Checkpoint the progress of items periodically, for a host that takes over.

        :param runs: the jobs that this host runs
        """
        now = self.gateway.clock()
        for run in runs:
            if run.checkpoint or now - run.checkpoint_at < CHECKPOINT_INTERVAL_SECONDS:
                continue
            with self.isolation.step("save_progress", run.view.job.id):
                self._save_progress_of(run, now)

    def _save_progress_of(self, run: JobRun, now: float) -> None:
        progress = run.progress()
        events = sum(len(done.data) for done in progress.values())
        if events - run.checkpoint_events < CHECKPOINT_EVENTS:
            return
        run.checkpoint_at, run.checkpoint_events = now, events
        selected = fitting_progress(progress)
        if len(selected) < len(progress):
            log.info(
                "progress stored in part",
                job=run.view.job.id,
                items=len(selected),
                omitted=len(progress) - len(selected),
            )
        run.checkpoint = asyncio.create_task(self._save(run, selected))
        self.track(run.checkpoint)

    async def _save(self, run: JobRun, progress: dict[ItemId, Progress]) -> None:
        job = run.view.job.id
        try:
            run.checkpoint_version = await self.store.save_progress(
                job, progress, run.checkpoint_version
            )
        except PrimrosefordError as error:
            run.checkpoint_version = None
            log.info(
                "progress not stored",
                job=job,
                code=error.code.name,
                reason=error.message,
                items=len(progress),
            )
        finally:
            run.checkpoint = None

    def schedule_commit(self, run: JobRun) -> None:
        """Start committing the finished items of a job, unless that is in progress."""
        run.resume_at = None
        if run.committer is None:
            run.committer = asyncio.create_task(self._commit(run))
            self.track(run.committer)

    def resume_commits(self, runs: Iterable[JobRun]) -> None:
        """Start the tasks that commit results and end jobs where there is none.

        A task ends at an unexpected error, and no further item may be left whose end
        would start the next one.

        :param runs: the jobs that this host runs
        """
        now = self.gateway.clock()
        for run in runs:
            if run.committer is not None or not (run.finished or run.view.finished):
                continue
            if run.resume_at is None:
                run.resume_at = now + RESUME_DELAY_SECONDS
            elif now >= run.resume_at:
                self.schedule_commit(run)

    async def _commit(self, run: JobRun) -> None:
        """Commit finished items until none remain."""
        try:
            while run.finished:
                if run.waiting or run.running:
                    await _wait_for_more_items(run)
                # A read of a caller may have added results of another host to the
                # view. Nothing may be awaited from here until the write, or an item
                # could be committed twice.
                run.drop_committed()
                results = next_results(run, self.gateway.clock())
                if not results:
                    if run.stopped:
                        break
                    await asyncio.sleep(COMMIT_RETRY_SECONDS)
                    continue
                try:
                    await self.store.commit(run.view, results)
                    if run.max_results is not None:
                        run.max_results *= 2
                except PrimrosefordError as error:
                    log.warning(
                        "results not committed yet",
                        job=run.view.job.id,
                        code=error.code.name,
                        reason=error.message,
                        count=len(results),
                        finished=len(run.finished),
                    )
                    if error.code in FINAL_REFUSALS:
                        self._isolate_refused(run, results, error)
                    await asyncio.sleep(COMMIT_RETRY_SECONDS)
                    await self._refresh(run.view)
                run.drop_committed()
                self.gateway.allocator.changed = True
            if run.view.finished and not run.stopped:
                self.finish(run)
                await self.store.mark_finished(run.view.job.id)
        except PrimrosefordError as error:
            log.warning(
                "job not marked as finished",
                job=run.view.job.id,
                code=error.code.name,
            )
        except Exception as error:
            log.exception(
                "results not committed",
                job=run.view.job.id,
                reason=repr(error)[:MAX_REASON_LENGTH],
                count=len(run.finished),
            )
        finally:
            run.committer = None

    def _isolate_refused(
        self, run: JobRun, results: list[ItemResult], error: PrimrosefordError
    ) -> None:
        """Halve the next write, until one result alone is refused and set aside."""
        if len(results) > 1:
            run.max_results = len(results) // 2
            return
        run.max_results = None
        (result,) = results
        for item in run.finished:
            if item.item.id == result.id:
                item.commit_after = self.gateway.clock() + REFUSED_RETRY_SECONDS
        self.gateway.metrics.refused_results.inc()
        log.error(
            "result refused by the store",
            item=result.id,
            job=run.view.job.id,
            code=error.code.name,
            reason=error.message,
            characters=len(result.text),
        )

    async def _refresh(self, view: JobView) -> None:
        try:
            await self.store.refresh(view)
        except PrimrosefordError as error:
            log.info("results not readable", job=view.job.id, code=error.code.name)

    def track(self, task: asyncio.Task) -> None:
        """Keep a reference to a task until it is done, and log an unexpected error."""
        self.background.add(task)
        task.add_done_callback(self._forget)

    def _forget(self, task: asyncio.Task) -> None:
        self.background.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None and not isinstance(error, PrimrosefordError):
            log.error("background task failed", exc_info=error)


async def _wait_for_more_items(run: JobRun) -> None:
    """Wait for further items of a job to finish, unless its results are urgent."""
    try:
        async with asyncio.timeout(COMMIT_BATCH_DELAY_SECONDS):
            await run.urgent.wait()
    except TimeoutError:
        return


def next_results(run: JobRun, now: float) -> list[ItemResult]:
    """Return the results of the next write: of one segment at most.

    Results that the store has refused are written alone, after all others.

    :param now: local time in seconds
    """
    others = [item for item in run.finished if item.commit_after is None]
    if others:
        return first_segment(map(_result_of, others))[: run.max_results]
    due = [item for item in run.finished if item.commit_after <= now]
    return [_result_of(item) for item in due[:1]]


def _result_of(item: ItemRun) -> ItemResult:
    text = item.text() if item.result is ItemState.COMPLETE else ""
    return ItemResult(item.item.id, item.result, text)
