"""Batch items in progress, and one run of an item at a runner."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING

import structlog

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.exchange import EXCHANGE_ERRORS
from primroseford.gateway.exchange import MAX_EVENT_BYTES
from primroseford.gateway.exchange import InactivityTimeout
from primroseford.gateway.exchange import RunnerRequest
from primroseford.gateway.exchange import describe_error
from primroseford.gateway.exchange import may_have_run_error
from primroseford.gateway.exchange import read_bounded
from primroseford.gateway.exchange import send_to_runner
from primroseford.jobs.state import Progress
from primroseford.online.events import EventSplitter
from primroseford.online.exchange import Attempt
from primroseford.platform.runner_calls import ITEM_INVALID_STATUS
from primroseford.platform.runner_calls import is_signed
from primroseford.platform.runner_calls import item_headers
from primroseford.platform.runner_calls import runner_headers

if TYPE_CHECKING:
    import aiohttp

    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.runners import RunnerKey
    from primroseford.gateway.state import Gateway
    from primroseford.gateway.tables import Route
    from primroseford.ids import RunnerName
    from primroseford.ids import Version
    from primroseford.jobs.state import Item
    from primroseford.jobs.state import ItemId
    from primroseford.jobs.state import ItemState
    from primroseford.jobs.state import Job
    from primroseford.jobs.state import JobView

ITEM_SILENCE_SECONDS = 1.5
"""Silence after which an item goes on at another runner: longer than a full engine
takes to admit it, since an item can wait where a caller cannot."""
MAX_ITEM_BYTES = 512 * 1024
"""Longest stream of one run of an item, since its result must fit into one object of
the platform's store."""

log = structlog.get_logger()


class RunEnd(Enum):
    """How one run of an item ended."""

    COMPLETE = "complete"
    INVALID = "invalid"
    FAILED = "failed"
    REFUSED = "refused"
    BROKEN = "broken"


@dataclass(eq=False)
class ItemRun:
    """An item that is not listed yet.

    :param failures: runs that ended with a runner's own failure
    :param data: data of the events so far
    :param last_event: id of the last whole event that has one
    :param resumable: number of events up to it, behind which a further run goes on
    :param not_before: local time before which it is not tried again, in seconds
    :param runner: the runner on which it runs, or ran last
    :param started_at: local time of the start of its run
    :param events_before: events that it had then
    :param result: how it ended
    """

    job: Job
    item: Item
    due: float
    failures: int = 0
    data: list[str] = field(default_factory=list)
    last_event: str | None = None
    resumable: int = 0
    not_before: float = float("-inf")
    tried: set[RunnerKey] = field(default_factory=set)
    task: asyncio.Task | None = None
    runner: RunnerName | None = None
    started_at: float = 0.0
    events_before: int = 0
    result: ItemState | None = None

    def text(self) -> str:
        """Return the text of a complete item."""
        return "\n".join(self.data)

    def take_events(self, block: bytes) -> None:
        """Add whole events."""
        for event in block.decode().replace("\r\n", "\n").split("\n\n"):
            number, lines = parse_event(event)
            if lines is None:
                continue
            self.data.append(lines)
            if number is not None:
                self.last_event, self.resumable = number, len(self.data)

    def go_on(self) -> None:
        """Drop the events that the next run sends again."""
        del self.data[self.resumable :]


@dataclass(eq=False)
class JobRun:
    """A job that this host runs.

    :param waiting: items without a run at present
    :param running: items with one
    :param finished: items with a result that is not listed yet
    :param urgent: set if finished items shall be listed at once
    :param checkpoint_version: version of the stored progress, if this host stored it
    :param checkpoint_events: events in it
    """

    view: JobView
    waiting: list[ItemRun] = field(default_factory=list)
    running: set[ItemRun] = field(default_factory=set)
    finished: list[ItemRun] = field(default_factory=list)
    committer: asyncio.Task | None = None
    urgent: asyncio.Event = field(default_factory=asyncio.Event)
    checkpoint: asyncio.Task | None = None
    checkpoint_version: Version | None = None
    checkpoint_at: float = 0.0
    checkpoint_events: int = 0
    stopped: bool = False

    def progress(self) -> dict[ItemId, Progress]:
        """Return how far the items are that have begun."""
        return {
            item.item.id: Progress(
                item.data[: item.resumable], item.last_event, item.failures
            )
            for item in [*self.waiting, *self.running]
            if item.data or item.failures
        }

    def drop_listed(self) -> None:
        """Forget the items that are listed, by whomever."""
        listed = self.view.listed
        self.waiting = [r for r in self.waiting if r.item.id not in listed]
        self.finished = [r for r in self.finished if r.item.id not in listed]
        for run in self.running:
            if run.item.id in listed and run.task is not None:
                run.task.cancel()


def parse_event(event: str) -> tuple[str | None, str | None]:
    """Return the id and the data of one event; no data if it has none.

    :param event: the event's lines without the empty line at its end
    """
    number = None
    data: list[str] = []
    for line in event.split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            number = value
        elif name == "data":
            data.append(value)
    return number, "\n".join(data) if data else None


async def run_item(
    gateway: Gateway, route: Route, run: ItemRun, runner: RunnerState, until: float
) -> RunEnd:
    """Run an item once on a runner on which the caller holds a place for it.

    :param until: local time at which the item may be given up, in seconds
    """
    started = gateway.clock()
    inactivity = InactivityTimeout(
        asyncio.get_running_loop().time() + until - started, ITEM_SILENCE_SECONDS
    )
    attempt = Attempt()
    token = gateway.track_exchange(runner)
    try:
        async with inactivity.timeout:
            end = await _exchange(
                gateway, route, run, runner, inactivity, attempt, until
            )
        gateway.allocator.clear_suspicion(runner)
        return end
    except TimeoutError:
        gateway.suspect(runner, "silent")
        return RunEnd.BROKEN
    except PrimrosefordError as error:
        gateway.note_failure(runner, error)
        log.info(
            "item run ended early",
            item=run.item.id,
            job=run.job.id,
            runner=runner.entry.key.name,
            code=error.code.name,
            reason=error.message,
            events=len(run.data),
        )
        not_run = error.outcome is Outcome.NOT_RUN
        return RunEnd.REFUSED if not_run else RunEnd.BROKEN
    finally:
        runner.waiting.pop(token, None)


async def _exchange(
    gateway: Gateway,
    route: Route,
    run: ItemRun,
    runner: RunnerState,
    inactivity: InactivityTimeout,
    attempt: Attempt,
    until: float,
) -> RunEnd:
    headers = runner_headers(
        item_headers(run.item.headers, route.host, run.item.id),
        runner.entry.key.name,
        run.job.organisation,
        until - gateway.clock(),
        run.last_event,
    )
    call = RunnerRequest(
        "POST", run.item.path, headers, run.item.decoded_body(), run.item.id
    )
    answer = await send_to_runner(gateway.session, runner.entry, call, attempt)
    try:
        inactivity.reset()
        if answer.status == ITEM_INVALID_STATUS and is_signed(answer):
            return RunEnd.INVALID
        if answer.status >= 500:
            return RunEnd.FAILED if answer.status == 500 else RunEnd.BROKEN
        if answer.status != 200 or not is_signed(answer):
            raise may_have_run_error(
                ResultCode.RUNNER_FAILED, f"the runner gave {answer.status}"
            )
        await _read_events(gateway, run, runner, answer, inactivity)
        return RunEnd.COMPLETE
    finally:
        answer.close()


async def _read_events(
    gateway: Gateway,
    run: ItemRun,
    runner: RunnerState,
    answer: aiohttp.ClientResponse,
    inactivity: InactivityTimeout,
) -> None:
    splitter = EventSplitter(MAX_EVENT_BYTES, run.last_event)
    try:
        async for chunk in read_bounded(answer, MAX_ITEM_BYTES):
            block = splitter.feed(chunk)
            if block:
                inactivity.reset()
                runner.last_byte = gateway.clock()
                run.take_events(block)
    except EXCHANGE_ERRORS as error:
        raise may_have_run_error(
            ResultCode.STREAM_TRUNCATED, f"the stream broke: {describe_error(error)}"
        ) from error
    if splitter.pending:
        raise may_have_run_error(
            ResultCode.STREAM_TRUNCATED, "the stream ended inside an event"
        )
