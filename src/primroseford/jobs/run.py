"""State of batch items in progress, and one run of an item on a runner."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING

import structlog
from multidict import CIMultiDict

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.affinity import shared_part_positions
from primroseford.gateway.exchange import EXCHANGE_ERRORS
from primroseford.gateway.exchange import MAX_EVENT_BYTES
from primroseford.gateway.exchange import AttemptStage
from primroseford.gateway.exchange import InactivityTimeout
from primroseford.gateway.exchange import RunnerAttempt
from primroseford.gateway.exchange import RunnerRequest
from primroseford.gateway.exchange import describe_error
from primroseford.gateway.exchange import may_have_run_error
from primroseford.gateway.exchange import read_bounded
from primroseford.gateway.exchange import send_to_runner
from primroseford.gateway.runner_starts import ensure_same_instance
from primroseford.jobs.state import Progress
from primroseford.jobs.waiting import WaitReason
from primroseford.jobs.waiting import missing_items
from primroseford.online.events import EventSplitter
from primroseford.online.events import count_events
from primroseford.platform.prompts import decode_prompt
from primroseford.platform.runner_calls import ITEM_INVALID_STATUS
from primroseford.platform.runner_calls import is_signed
from primroseford.platform.runner_calls import item_headers
from primroseford.platform.runner_calls import runner_headers
from primroseford.runner_speed.pool import ResponseTimes

if TYPE_CHECKING:
    import aiohttp

    from primroseford.gateway.affinity import PromptPart
    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.runners import RunnerKey
    from primroseford.gateway.state import Gateway
    from primroseford.gateway.tables import Route
    from primroseford.ids import PromptPartId
    from primroseford.ids import RunnerName
    from primroseford.ids import SoftwareVersion
    from primroseford.ids import Version
    from primroseford.jobs.state import Item
    from primroseford.jobs.state import ItemId
    from primroseford.jobs.state import ItemState
    from primroseford.jobs.state import Job
    from primroseford.jobs.state import JobView

ITEM_IDLE_TIMEOUT_SECONDS = 1.5
"""Time without data after which an item moves to another runner: longer than a fully
loaded engine takes to admit it, since a batch item can wait longer than a caller."""
MAX_ITEM_BYTES = 512 * 1024
"""Maximum length of the text of an item, and of the stream of one run. A result of this
length in base64 fits into one object of the platform's store."""
LINE_FEED_BYTES = 1
"""Length of the separator between the data of two events."""

log = structlog.get_logger()


class RunOutcome(Enum):
    """Outcome of one run of an item."""

    COMPLETE = "complete"
    INVALID = "invalid"
    FAILED = "failed"
    REFUSED = "refused"
    BROKEN = "broken"


@dataclass(eq=False)
class ItemRun:
    """An item without a committed result.

    :param deadline: local time of its deadline in seconds
    :param failures: runs that ended with a failure reported by the runner itself
    :param data: data of the events received so far
    :param text_bytes: length of the data as a text
    :param last_event: id of the last complete event that has an id
    :param resumable_events: number of events up to that one; the next run resumes there
    :param version: software version of the runner that made the first of the events;
        None if there are no events
    :param not_before: local time before which it is not retried, in seconds
    :param tried: runners on which it has failed
    :param failed_on: runners that broke it off or reported a failure, since its last
        event
    :param stalled_since: local time in seconds of the end of the first run since its
        last event; None if none has ended since
    :param runner: runner of its current or last run
    :param started_at: local time of the start of that run in seconds
    :param events_at_start: number of events at that time
    :param result: final state
    :param interruptions: consecutive runs that ended before their first event
    :param starts: runs that this host has started
    :param held: whether a part of its prompt was quarantined when it last waited
    :param commit_after: local time before which its result is not written again, after
        the store refused it, in seconds; None if it was not refused
    :param wait_reason: why it has not been started, if it waits
    :param waiting_since: local time since which it waits in seconds; None if it runs
    :param version_full_since: local time since which only runners of other software
        versions than that of its text have room, in seconds; None if they have not
    :param wait_logged_at: local time of the last log line about its wait in seconds
    :ivar prompt: parts of the item's prompt
    :ivar shared_parts: ids of the prompt parts that other requests may share
    """

    job: Job
    item: Item
    deadline: float
    failures: int = 0
    data: list[str] = field(default_factory=list)
    text_bytes: int = 0
    last_event: str | None = None
    resumable_events: int = 0
    version: SoftwareVersion | None = None
    not_before: float = float("-inf")
    tried: set[RunnerKey] = field(default_factory=set)
    failed_on: set[RunnerKey] = field(default_factory=set)
    stalled_since: float | None = None
    task: asyncio.Task | None = None
    runner: RunnerName | None = None
    started_at: float = 0.0
    events_at_start: int = 0
    result: ItemState | None = None
    interruptions: int = 0
    starts: int = 0
    held: bool = False
    commit_after: float | None = None
    wait_reason: WaitReason = WaitReason.NOT_SCHEDULED
    waiting_since: float | None = None
    version_full_since: float | None = None
    wait_logged_at: float = float("-inf")
    prompt: tuple[PromptPart, ...] = field(init=False)
    shared_parts: list[PromptPartId] = field(init=False)

    def __post_init__(self) -> None:
        self.prompt = decode_prompt(CIMultiDict(self.item.headers))
        self.shared_parts = [part.id for part in self.prompt[:-1]]

    @property
    def in_trial(self) -> bool:
        """Whether its run tries a quarantined part and has shown nothing so far."""
        return self.held and len(self.data) == self.events_at_start

    def text(self) -> str:
        """Return the text of a complete item."""
        return "\n".join(self.data)

    @property
    def required_version(self) -> SoftwareVersion | None:
        """Software version of the runners that can continue the text; None for any."""
        return self.version if self.resumable_events else None

    def append_events(self, block: bytes, version: SoftwareVersion) -> None:
        """Append complete events.

        :param block: events, each ended by an empty line
        :param version: software version of the runner that made them
        """
        if not self.data:
            self.version = version
        self.stalled_since = None
        self.failed_on.clear()
        for event in block.decode().replace("\r\n", "\n").split("\n\n"):
            number, lines = parse_event(event)
            if lines is None:
                continue
            self.data.append(lines)
            self.text_bytes += len(lines.encode()) + LINE_FEED_BYTES
            if number is not None:
                self.last_event, self.resumable_events = number, len(self.data)

    def restore(self, progress: Progress) -> None:
        """Continue from the progress of an earlier run."""
        self.data, self.last_event = list(progress.data), progress.last_event
        self.text_bytes = _text_bytes(self.data)
        self.resumable_events = len(self.data)
        self.failures, self.version = progress.failures, progress.version

    def discard_unresumable_events(self) -> None:
        """Drop the events that the next run will send again."""
        self.text_bytes -= _text_bytes(self.data[self.resumable_events :])
        del self.data[self.resumable_events :]

    def discard_events(self) -> None:
        """Drop all events, so that the next run starts from the beginning."""
        self.data, self.text_bytes = [], 0
        self.last_event, self.resumable_events = None, 0
        self.version = self.version_full_since = self.stalled_since = None


@dataclass(eq=False)
class JobRun:
    """A job that this host runs.

    :param waiting: items without a current run
    :param running: items with a current run
    :param finished: items with a result that is not committed yet
    :param deadline: local time of the deadline of its items in seconds
    :param committer: task that commits the finished items
    :param resume_at: local time in seconds at which one is started if there is none;
        None if there is nothing to commit or a task commits it
    :param max_results: maximum number of results in the next write, after the store
        refused a write for its content; None for no limit
    :param urgent: set to commit the finished items without delay
    :param checkpoint: task that stores the progress
    :param checkpoint_version: version of the stored progress, if this host stored it
    :param checkpoint_at: local time of the last checkpoint in seconds
    :param checkpoint_events: number of events in the last checkpoint
    """

    view: JobView
    waiting: list[ItemRun] = field(default_factory=list)
    running: set[ItemRun] = field(default_factory=set)
    finished: list[ItemRun] = field(default_factory=list)
    deadline: float = 0.0
    committer: asyncio.Task | None = None
    resume_at: float | None = None
    max_results: int | None = None
    urgent: asyncio.Event = field(default_factory=asyncio.Event)
    checkpoint: asyncio.Task | None = None
    checkpoint_version: Version | None = None
    checkpoint_at: float = 0.0
    checkpoint_events: int = 0
    stopped: bool = False

    def progress(self) -> dict[ItemId, Progress]:
        """Return the progress of the items that have events or failures."""
        return {
            item.item.id: Progress(
                item.data[: item.resumable_events],
                item.last_event,
                item.failures,
                item.required_version,
            )
            for item in [*self.waiting, *self.running]
            if item.data or item.failures
        }

    def restore_missing(self) -> list[ItemId]:
        """Put the items that are in no list of the job back among the waiting ones.

        They start from the beginning.

        :returns: their ids
        """
        missing = missing_items(self)
        if missing:
            listed = {item.id: item for item in self.view.job.items}
            self.waiting += [
                ItemRun(self.view.job, listed[item], self.deadline) for item in missing
            ]
        return missing

    def drop_committed(self) -> None:
        """Drop the items with a committed result, whichever host committed it."""
        committed = self.view.committed
        self.waiting = [r for r in self.waiting if r.item.id not in committed]
        self.finished = [r for r in self.finished if r.item.id not in committed]
        for run in self.running:
            if run.item.id in committed and run.task is not None:
                run.task.cancel()


def _text_bytes(data: list[str]) -> int:
    """Return the length of a text made of the data of these events."""
    return sum(len(lines.encode()) + LINE_FEED_BYTES for lines in data)


def parse_event(event: str) -> tuple[str | None, str | None]:
    """Return the id and the data of one server-sent event, None for what it lacks.

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
    gateway: Gateway, route: Route, item: ItemRun, runner: RunnerState, until: float
) -> RunOutcome:
    """Run an item once on a runner on which a slot is allocated for it.

    :param until: local time at which the item may be abandoned, in seconds
    """
    started = gateway.clock()
    inactivity = InactivityTimeout(
        asyncio.get_running_loop().time() + until - started,
        ITEM_IDLE_TIMEOUT_SECONDS * gateway.speeds.silence_factor(runner),
    )
    attempt = RunnerAttempt()
    token = gateway.track_exchange(runner)
    try:
        async with inactivity.timeout:
            outcome = await _exchange(
                gateway, route, item, runner, inactivity, attempt, until
            )
        gateway.allocator.clear_suspicion(runner)
        return outcome
    except TimeoutError:
        gateway.suspect(runner, "silent")
        return RunOutcome.BROKEN
    except PrimrosefordError as error:
        gateway.note_failure(runner, error)
        gateway.crash_detector.note_interruption(
            runner, attempt, lambda: shared_part_positions(item.prompt), error
        )
        log.info(
            "item run ended without a result",
            item=item.item.id,
            job=item.job.id,
            runner=runner.entry.key.name,
            code=error.code.name,
            reason=error.message,
            events=len(item.data),
            stage=attempt.stage.value,
            prompt=[part.id for part in item.prompt],
        )
        if item.in_trial and attempt.stage is AttemptStage.UNSENT:
            gateway.quarantine.repeat_trial(item.shared_parts)
        not_run = error.outcome is Outcome.NOT_RUN
        return RunOutcome.REFUSED if not_run else RunOutcome.BROKEN
    finally:
        runner.waiting.pop(token, None)


async def _exchange(
    gateway: Gateway,
    route: Route,
    item: ItemRun,
    runner: RunnerState,
    inactivity: InactivityTimeout,
    attempt: RunnerAttempt,
    until: float,
) -> RunOutcome:
    await ensure_same_instance(gateway, runner, item.last_event is not None)
    headers = runner_headers(
        item_headers(item.item.headers, route.host, item.item.id),
        runner.entry.key.name,
        item.job.organisation,
        until - gateway.clock(),
        item.last_event,
    )
    _check_path(item.item.path)
    call = RunnerRequest(
        "POST", item.item.path, headers, item.item.decoded_body(), item.item.id
    )
    sent_at = gateway.clock()
    response = await send_to_runner(
        gateway.session,
        runner.entry,
        call,
        attempt,
        lambda notice: gateway.note_notice(runner, notice),
        lambda load: gateway.note_load(runner, load),
    )
    try:
        inactivity.reset()
        if response.status == ITEM_INVALID_STATUS and is_signed(response):
            return RunOutcome.INVALID
        if response.status >= 500:
            return RunOutcome.FAILED if response.status == 500 else RunOutcome.BROKEN
        if response.status != 200 or not is_signed(response):
            raise may_have_run_error(
                ResultCode.RUNNER_FAILED,
                f"the runner returned status {response.status}",
            )
        await _read_events(
            gateway, item, runner, response, inactivity, attempt, sent_at
        )
        return RunOutcome.COMPLETE
    finally:
        response.close()


def _check_path(path: str) -> None:
    """Check that a path can be sent, so that no runner is blamed for one that cannot.

    :raises ValueError: if it cannot be sent
    """
    if not path.startswith("/"):
        raise ValueError("the path of the item does not begin with a slash")
    path.encode()


async def _read_events(
    gateway: Gateway,
    item: ItemRun,
    runner: RunnerState,
    response: aiohttp.ClientResponse,
    inactivity: InactivityTimeout,
    attempt: RunnerAttempt,
    sent_at: float,
) -> None:
    splitter = EventSplitter(MAX_EVENT_BYTES, item.last_event)
    times = ResponseTimes()
    is_measured = gateway.speeds.covers(runner)
    try:
        async for chunk in read_bounded(response, MAX_ITEM_BYTES):
            block = splitter.feed(chunk)
            if block:
                if not attempt.event_received:
                    attempt.event_received = True
                    gateway.pace.note_answer(runner, gateway.clock() - sent_at)
                    gateway.quarantine.record_served(item.shared_parts)
                inactivity.reset()
                runner.last_byte = gateway.clock()
                if is_measured:
                    times.note(count_events(block), runner.last_byte)
                item.append_events(block, runner.entry.version)
                if item.text_bytes > MAX_ITEM_BYTES:
                    item.discard_events()
                    raise may_have_run_error(
                        ResultCode.RESULT_TOO_LARGE,
                        f"the item's text is longer than {MAX_ITEM_BYTES} bytes",
                    )
    except EXCHANGE_ERRORS as error:
        raise may_have_run_error(
            ResultCode.STREAM_TRUNCATED,
            f"the stream was interrupted: {describe_error(error)}",
        ) from error
    if splitter.pending:
        raise may_have_run_error(
            ResultCode.STREAM_TRUNCATED, "the stream ended within an event"
        )
    gateway.speeds.note_response(runner, times)
