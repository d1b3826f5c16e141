"""Detects that a runner crashed while it was beginning to answer requests.

An exchange that breaks off has many causes: a network fault, a spoilt response, a
connection that was reset. A runner has crashed only if it also refuses connections or
is no longer listed.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from primroseford.errors import Outcome
from primroseford.gateway.exchange import CONNECTION_SECONDS
from primroseford.gateway.exchange import INTERRUPTED_CODES
from primroseford.gateway.exchange import AttemptStage

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.errors import PrimrosefordError
    from primroseford.gateway.exchange import RunnerAttempt
    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.runners import RunnerKey
    from primroseford.gateway.state import Gateway
    from primroseford.ids import PromptPartId

CHECK_DELAY_SECONDS = 0.02
"""Delay before a runner is checked: a process that ends closes its sockets one after
the other, and its other exchanges break off within a few ms."""
INCOMPLETE_STAGES = frozenset({AttemptStage.SENT, AttemptStage.STARTED})

log = structlog.get_logger()


class CrashDetector:
    """Checks runners whose exchanges break off, and records crashes as evidence.

    :ivar pending: parts of the interrupted requests by runner instance, while the
        runner is being checked
    :ivar tasks: checks in progress
    """

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.pending: dict[RunnerKey, dict[PromptPartId, int]] = {}
        self.tasks: set[asyncio.Task] = set()

    def note_interruption(
        self,
        runner: RunnerState,
        attempt: RunnerAttempt,
        find_subjects: Callable[[], dict[PromptPartId, int]],
        error: PrimrosefordError,
    ) -> None:
        """Check a runner if an exchange broke off before the first event.

        :param find_subjects: returns the subjects of the request under which the runner
            may have crashed, each with its position
        """
        if (
            error.code not in INTERRUPTED_CODES
            or error.outcome is not Outcome.MAY_HAVE_RUN
            or attempt.stage not in INCOMPLETE_STAGES
        ):
            return
        parts = find_subjects()
        if not parts:
            return
        key = runner.entry.key
        if key in self.pending:
            self.pending[key].update(parts)
            return
        self.pending[key] = parts
        task = asyncio.create_task(self._check(runner, self.gateway.clock()))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _check(self, runner: RunnerState, at: float) -> None:
        key = runner.entry.key
        try:
            await asyncio.sleep(CHECK_DELAY_SECONDS)
            alive = await self._is_alive(runner)
        finally:
            parts = self.pending.pop(key)
        if alive:
            log.info("runner is up after an interrupted exchange", runner=key.name)
            return
        self.gateway.suspect(runner, "crashed")
        self.gateway.metrics.crashes.inc()
        self.gateway.quarantine.record_crash(key, at, parts)

    async def _is_alive(self, runner: RunnerState) -> bool:
        """Return whether the same runner instance accepts a connection."""
        key = runner.entry.key
        if self.gateway.allocator.runners.get(key.name) is not runner:
            return False
        try:
            async with asyncio.timeout(CONNECTION_SECONDS):
                opened = await self.gateway.paths.open(runner.entry.address)
        except (OSError, TimeoutError):
            return False
        opened.socket.close()
        return True
