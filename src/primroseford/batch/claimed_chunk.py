"""A claimed chunk on its holder: its items, results and writes."""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from primroseford.batch.decisions import CHECKPOINT_SECONDS
from primroseford.batch.decisions import Step
from primroseford.batch.decisions import Takeover
from primroseford.batch.decisions import committed
from primroseford.batch.decisions import judge
from primroseford.batch.decisions import saved_state
from primroseford.batch.decisions import take_over
from primroseford.batch.decisions import takeover_reason
from primroseford.batch.files import TAKEN
from primroseford.batch.files import Slicer
from primroseford.batch.files import create
from primroseford.batch.files import update
from primroseford.batch.items import Item
from primroseford.batch.items import check_line
from primroseford.batch.results import MAX_ANSWER_BYTES
from primroseford.batch.results import store_results
from primroseford.batch.state import CHUNK_STATES
from primroseford.batch.state import ChunkPhase
from primroseford.batch.state import ChunkState
from primroseford.batch.state import ItemResult
from primroseford.batch.state import Job
from primroseford.batch.state import JobState
from primroseford.batch.state import encode_chunk
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from collections.abc import Collection

    from primroseford.batch.jobs import JobStore
    from primroseford.batch.runners import ItemAnswer
    from primroseford.clock import Clock
    from primroseford.platform.objects import PlatformObject


@dataclass(frozen=True)
class Holder:
    """The host that claims chunks.

    :param incarnation: unique for each start of the process
    """

    host: str
    incarnation: str


@dataclass
class Work:
    """A chunk that this host has claimed.

    :param stored: the chunk's object as last written
    :param pending: items to run, in order
    :param results: results that are not stored yet
    :param unsent: items that were given up before they were sent
    :param attempts: failures of runners by item
    :param suspects: items whose runner died
    :param lock: held while the chunk's object is written
    :param writing: a write whose outcome is not known yet, with its results
    :param lost: another holder has the chunk; nothing more is written
    :param takeover: why the chunk was claimed again, if it was
    """

    name: str
    job: Job
    number: int
    state: ChunkState
    stored: PlatformObject
    items: list[Item]
    saved_at: float
    pending: list[int] = field(default_factory=list)
    running: set[int] = field(default_factory=set)
    unsent: set[int] = field(default_factory=set)
    results: dict[int, ItemResult] = field(default_factory=dict)
    attempts: dict[int, int] = field(default_factory=dict)
    suspects: set[int] = field(default_factory=set)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    writing: tuple[ChunkState, list[ItemResult]] | None = None
    lost: bool = False
    takeover: Takeover | None = None

    @property
    def finished(self) -> bool:
        """Whether no item is left to run."""
        return not self.pending and not self.running

    @property
    def closed(self) -> bool:
        """Whether this host has nothing more to do for the chunk."""
        return self.lost or self.state.phase is not ChunkPhase.CLAIMED

    def needs_save(self, now: float) -> bool:
        """Return whether a checkpoint or the commit is due."""
        if self.closed:
            return False
        return self.finished or now - self.saved_at >= CHECKPOINT_SECONDS


class Claimer:
    """Claims chunks for all feeders of one host.

    ``held`` names the chunks that a feeder holds or is about to claim, ``seen`` is
    by job and chunk the version of another host's claim and since when it is
    unchanged, and ``absent_since`` is by incarnation of holders.

    :param jobs: jobs and their chunks
    :param holder: this host
    :param clock: local time in seconds
    """

    def __init__(self, jobs: JobStore, holder: Holder, clock: Clock) -> None:
        self.jobs = jobs
        self.holder = holder
        self.clock = clock
        self.held: set[str] = set()
        self.seen: dict[str, dict[int, tuple[int, float]]] = {}
        self.absent_since: dict[str, float] = {}

    async def claim(
        self, name: str, job: Job, live: Collection[str], start: int = 0
    ) -> Work | None:
        """Claim one chunk of a job, if there is one.

        :param live: incarnations of the live hosts
        :param start: chunk to begin the search at, so that feeders meet rarely
        :raises PrimrosefordError: PLATFORM_UNAVAILABLE
        """
        found = {s.chunk: (s, item) for s, item in await self.jobs.chunks(name)}
        self._note(name, found, live)
        count = len(job.chunk_items)
        for number in ((start + n) % count for n in range(count)):
            if f"{name}-{number}" in self.held:
                continue
            reason = self._reason(*found[number]) if number in found else None
            if number in found and reason is None:
                continue
            work = await self._claim(name, job, number, found.get(number))
            if work is not None:
                work.takeover = reason
                return work
        return None

    def drop(self, work: Work) -> None:
        """Note that no feeder of this host holds a chunk any more."""
        self.held.discard(work.stored.name)

    def note_live(self, live: Collection[str]) -> None:
        """Note which incarnations are live, so that an absence is continuous."""
        for incarnation in self.absent_since.keys() & set(live):
            del self.absent_since[incarnation]

    def forget_ended(self, active: Collection[str]) -> None:
        """Drop what was seen of jobs that are not active any more."""
        self.seen = {name: seen for name, seen in self.seen.items() if name in active}
        if not self.seen:
            self.absent_since.clear()

    def _note(self, name: str, found: dict, live: Collection[str]) -> None:
        now, before = self.clock(), self.seen.get(name, {})
        self.note_live(live)
        seen = self.seen[name] = {}
        for number, (state, item) in found.items():
            if state.phase is not ChunkPhase.CLAIMED:
                continue
            version, since = before.get(number, (item.version, now))
            seen[number] = (item.version, since if version == item.version else now)
            if state.incarnation not in live:
                self.absent_since.setdefault(state.incarnation, now)

    def _reason(self, state: ChunkState, item: PlatformObject) -> Takeover | None:
        own = state.incarnation == self.holder.incarnation
        if own and state.phase is ChunkPhase.CLAIMED:
            # The answer to this host's claim was lost, since no feeder holds it.
            return Takeover.OWN
        now = self.clock()
        _, since = self.seen[state.job].get(state.chunk, (item.version, now))
        absent = now - self.absent_since.get(state.incarnation, now)
        return takeover_reason(state, absent, now - since)

    async def _claim(
        self,
        name: str,
        job: Job,
        number: int,
        found: tuple[ChunkState, PlatformObject] | None,
    ) -> Work | None:
        chunk, work = f"{name}-{number}", None
        self.held.add(chunk)
        try:
            taken = await (self._take(*found) if found else self._create(name, number))
            if taken is not None:
                work = await self._open(name, job, number, *taken)
        finally:
            if work is None:
                self.held.discard(chunk)
        return work

    async def _create(
        self, name: str, number: int
    ) -> tuple[ChunkState, PlatformObject] | None:
        holder, claim = self.holder, uuid.uuid4().hex
        state = ChunkState(name, number, holder.host, holder.incarnation, claim)
        stored, created = await create(
            self.jobs.client,
            CHUNK_STATES,
            f"{name}-{number}",
            encode_chunk(state),
            {"job": name},
        )
        return (state, stored) if created else None

    async def _take(
        self, state: ChunkState, item: PlatformObject
    ) -> tuple[ChunkState, PlatformObject] | None:
        holder = self.holder
        taken = take_over(state, holder.host, holder.incarnation, uuid.uuid4().hex)
        try:
            stored = await update(
                self.jobs.client, item, encode_chunk(taken), item.labels
            )
        except PrimrosefordError as error:
            if error.code not in TAKEN:
                raise
            return None
        return taken, stored

    async def _open(
        self, name: str, job: Job, number: int, state: ChunkState, item: PlatformObject
    ) -> Work:
        slicer, items = Slicer(), []
        lines = await self.jobs.files.chunk_lines(job.upload, number)
        for position, line in enumerate(lines, 1):
            items.append(check_line(line.encode(), position))
            await slicer.turn()
        work = Work(name, job, number, state, item, items, self.clock())
        work.attempts, work.suspects = dict(state.attempts), set(state.suspects)
        for index, checked in enumerate(items):
            if index in state.intents:
                code = ResultCode.ITEM_OUTCOME_UNKNOWN
                work.results[index] = ItemResult(index, checked.custom_id, code)
            elif index not in state.done:
                work.pending.append(index)
        return work


def take_answer(work: Work, index: int, answer: ItemAnswer, repeatable: bool) -> Step:
    """Record what came of an item.

    :returns: whether the item has its result or runs again
    """
    work.running.discard(index)
    attempts = work.attempts.get(index, 0)
    verdict = judge(answer, repeatable, attempts)
    if verdict.step is Step.RESULT:
        work.results[index] = _result(work.items[index], index, answer, verdict.code)
        return verdict.step
    if verdict.step is Step.ATTEMPT:
        work.attempts[index] = attempts + 1
        if verdict.suspect:
            work.suspects.add(index)
    put_back(work, index)
    return verdict.step


def put_back(work: Work, index: int) -> None:
    """Let an item run again at the place it had."""
    work.running.discard(index)
    work.pending = sorted({*work.pending, index})


def _result(item: Item, index: int, answer: ItemAnswer, code: ResultCode) -> ItemResult:
    body = answer.body
    if len(body) > MAX_ANSWER_BYTES:
        code, body = ResultCode.RESULT_TOO_LARGE, b""
    text = body.decode(errors="replace")
    return ItemResult(index, item.custom_id, code, answer.status, text)


async def declare_intents(jobs: JobStore, work: Work, indexes: Collection[int]) -> bool:
    """Store that items which may not be repeated are about to be sent.

    :returns: whether they may be sent; false if another holder has the chunk
    :raises PrimrosefordError: PLATFORM_UNAVAILABLE; nothing may be sent
    """
    if work.writing is not None:
        await _finish_write(jobs, work)
    if not work.closed:
        wanted = replace(work.state, intents=work.state.intents | set(indexes))
        work.writing = (wanted, [])
        await _finish_write(jobs, work)
    return not work.closed


async def save(jobs: JobStore, work: Work, now: float, release: bool = False) -> bool:
    """Store new results, and commit the chunk if all items have one.

    :param now: local time in seconds
    :param release: the feeder stops; another one may claim the chunk at once
    :returns: whether the chunk is still this host's
    :raises PrimrosefordError: PLATFORM_UNAVAILABLE; call again later
    """
    if work.writing is not None:
        await _finish_write(jobs, work)
    if work.closed:
        return not work.lost
    results = list(work.results.values())
    parts = await store_results(jobs.client, work.name, results)
    job, _ = await jobs.read(work.name)
    # A chunk whose items are still in flight is stopped by a later write, which
    # then holds their results.
    phase = ChunkPhase.RELEASED if release else work.state.phase
    if job.state is not JobState.ACTIVE and not work.running:
        phase = ChunkPhase.STOPPED
    # Items that wait or were given up were not sent; their intents are withdrawn.
    base = replace(
        work.state,
        attempts=dict(work.attempts),
        suspects=frozenset(work.suspects),
        intents=work.state.intents - set(work.pending) - work.unsent,
    )
    state = saved_state(base, results, parts, phase)
    work.writing = (committed(state, len(work.items)), results)
    await _finish_write(jobs, work)
    work.saved_at = now
    return not work.lost


async def _finish_write(jobs: JobStore, work: Work) -> None:
    # A write whose outcome is unknown is repeated unchanged, so that its own
    # earlier effect is recognised by content.
    assert work.writing is not None
    state, results = work.writing
    if await _write(jobs, work, state):
        for result in results:
            work.results.pop(result.index, None)
    work.writing = None


async def _write(jobs: JobStore, work: Work, state: ChunkState) -> bool:
    try:
        labels = {"job": work.name}
        stored = await update(jobs.client, work.stored, encode_chunk(state), labels)
    except PrimrosefordError as error:
        if error.code not in TAKEN and error.code is not ResultCode.NOT_FOUND:
            raise
        work.lost = True
        return False
    work.stored, work.state = stored, state
    return True
