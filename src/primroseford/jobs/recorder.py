"""Stores what the runs of this host's jobs yield: results and progress."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from primroseford.errors import PrimrosefordError
from primroseford.jobs.state import ItemResult
from primroseford.jobs.state import ItemState
from primroseford.jobs.store import SEGMENT_BYTES

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

CHECKPOINT_SECONDS = 2.0
"""Time between two stores of a job's progress: less than half of an item's run, at a
price of one write."""
CHECKPOINT_EVENTS = 100
"""Events since the last store for which another one is worth its write: about half of
an item."""
COMMIT_RETRY_SECONDS = 0.3
"""Pause before results are listed again after the store did not take them."""
COMMIT_PAUSE_SECONDS = 0.4
"""Time for which finished items wait for others of their job, so that one write lists
them all: a fiftieth of the time in which items are due."""

log = structlog.get_logger()


class JobRecorder:
    """Writes results and progress to the platform's store, in the background.

    :param store: jobs in the platform's store
    :param finish: called with a job whose items are all listed
    :ivar background: writes that are on their way
    """

    def __init__(
        self, gateway: Gateway, store: JobStore, finish: Callable[[JobRun], None]
    ) -> None:
        self.gateway = gateway
        self.store = store
        self.finish = finish
        self.background: set[asyncio.Task] = set()

    def save_progress(self, runs: Iterable[JobRun]) -> None:
        """Store now and then how far the items are, for a host that takes over.

        :param runs: the jobs that this host runs
        """
        now = self.gateway.clock()
        for run in runs:
            if run.checkpoint or now - run.checkpoint_at < CHECKPOINT_SECONDS:
                continue
            progress = run.progress()
            events = sum(len(done.data) for done in progress.values())
            if events - run.checkpoint_events < CHECKPOINT_EVENTS:
                continue
            run.checkpoint_at, run.checkpoint_events = now, events
            run.checkpoint = asyncio.create_task(self._save(run, progress))
            self.keep(run.checkpoint)

    async def _save(self, run: JobRun, progress: dict[ItemId, Progress]) -> None:
        job = run.view.job.id
        try:
            run.checkpoint_version = await self.store.save_progress(
                job, progress, run.checkpoint_version
            )
        except PrimrosefordError as error:
            run.checkpoint_version = None
            log.info("progress not stored", job=job, code=error.code.name)
        finally:
            run.checkpoint = None

    def commit_soon(self, run: JobRun) -> None:
        """List the finished items of a job."""
        if run.committer is None:
            run.committer = asyncio.create_task(self._commit(run))
            self.keep(run.committer)

    async def _commit(self, run: JobRun) -> None:
        """List finished items until none is left."""
        try:
            while run.finished:
                if run.waiting or run.running:
                    await _pause(run)
                # Another host may have listed some of them, which the view knows since
                # a reader asked. Nothing may be awaited from here to the write.
                run.drop_listed()
                batch = _segment(run.finished)
                if not batch:
                    break
                results = [
                    ItemResult(item.item.id, item.result, _text(item)) for item in batch
                ]
                try:
                    await self.store.commit(run.view, results)
                except PrimrosefordError as error:
                    log.warning(
                        "results not listed yet",
                        job=run.view.job.id,
                        code=error.code.name,
                        count=len(results),
                    )
                    await asyncio.sleep(COMMIT_RETRY_SECONDS)
                    await self._refresh(run.view)
                run.drop_listed()
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
        finally:
            run.committer = None

    async def _refresh(self, view: JobView) -> None:
        try:
            await self.store.refresh(view)
        except PrimrosefordError as error:
            log.info("results not readable", job=view.job.id, code=error.code.name)

    def keep(self, task: asyncio.Task) -> None:
        """Hold a task until it is done; an unexpected error is logged."""
        self.background.add(task)
        task.add_done_callback(self._forget)

    def _forget(self, task: asyncio.Task) -> None:
        self.background.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None and not isinstance(error, PrimrosefordError):
            log.error("background task failed", exc_info=error)


async def _pause(run: JobRun) -> None:
    """Wait for further items of a job, unless its results are urgent."""
    try:
        async with asyncio.timeout(COMMIT_PAUSE_SECONDS):
            await run.urgent.wait()
    except TimeoutError:
        return


def _text(item: ItemRun) -> str:
    return item.text() if item.result is ItemState.COMPLETE else ""


def _segment(finished: list[ItemRun]) -> list[ItemRun]:
    """Return the first finished items that fit into one segment, at least one."""
    taken: list[ItemRun] = []
    size = 0
    for item in finished:
        size += sum(map(len, item.data))
        if taken and size > SEGMENT_BYTES:
            break
        taken.append(item)
    return taken
