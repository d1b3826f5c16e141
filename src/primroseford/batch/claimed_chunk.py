"""State of a claimed chunk on its holder: items, results and stored updates."""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from primroseford.batch.decisions import CHECKPOINT_INTERVAL_SECONDS
from primroseford.batch.decisions import NextStep
from primroseford.batch.decisions import Takeover
from primroseford.batch.decisions import checkpointed_state
from primroseford.batch.decisions import classify_answer
from primroseford.batch.decisions import commit_if_complete
from primroseford.batch.decisions import take_over
from primroseford.batch.decisions import takeover_reason
from primroseford.batch.files import CONFLICT_CODES
from primroseford.batch.files import LoopYielder
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
class ClaimedChunk:
    """A chunk that this host has claimed.

    :param stored: the chunk's object as last written
    :param pending: items to run, in order
    :param results: results that are not stored yet
    :param withdrawn: items of an ended job that were not sent
    :param attempts: failed attempts by item
    :param suspects: items whose runner died while it ran them
    :param lock: held while the chunk's object is written
    :param pending_write: state and results of a write whose outcome is unknown
    :param lost: another host has taken the chunk over; nothing more is written
    :param takeover: reason of the takeover; nothing for a first claim
    """

    name: str
    job: Job
    number: int
    state: ChunkState
    stored: PlatformObject
    items: list[Item]
    written_at: float
    pending: list[int] = field(default_factory=list)
    running: set[int] = field(default_factory=set)
    withdrawn: set[int] = field(default_factory=set)
    results: dict[int, ItemResult] = field(default_factory=dict)
    attempts: dict[int, int] = field(default_factory=dict)
    suspects: set[int] = field(default_factory=set)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    pending_write: tuple[ChunkState, list[ItemResult]] | None = None
    lost: bool = False
    takeover: Takeover | None = None

    @property
    def finished(self) -> bool:
        """Whether no item is left to run."""
        return not self.pending and not self.running

    @property
    def closed(self) -> bool:
        """Whether the claim has ended: lost, released, committed or stopped."""
        return self.lost or self.state.phase is not ChunkPhase.CLAIMED

    def needs_write(self, now: float) -> bool:
        """Return whether a checkpoint or the commit is due."""
        if self.closed:
            return False
        return self.finished or now - self.written_at >= CHECKPOINT_INTERVAL_SECONDS


class Claimer:
    """Claims chunks for all feeders of one host.

    :param jobs: jobs and their chunks
    :param holder: this host
    :param clock: local time in seconds
    :ivar claimed_names: chunk objects that a feeder of this host has claimed or is
        about to claim
    :ivar observed_claims: version of a claimed chunk's object and the local time
        since which it is unchanged, by job and chunk number
    :ivar absent_since: local time since which an incarnation is absent from the
        membership
    """

    def __init__(self, jobs: JobStore, holder: Holder, clock: Clock) -> None:
        self.jobs = jobs
        self.holder = holder
        self.clock = clock
        self.claimed_names: set[str] = set()
        self.observed_claims: dict[str, dict[int, tuple[int, float]]] = {}
        self.absent_since: dict[str, float] = {}

    async def claim(
        self, name: str, job: Job, live: Collection[str], start: int = 0
    ) -> ClaimedChunk | None:
        """Claim one chunk of a job, or return nothing if none can be claimed.

        :param live: incarnations of the live hosts
        :param start: first chunk to try; differs by feeder to avoid claim conflicts
        :raises PrimrosefordError: PLATFORM_UNAVAILABLE
        """
        found = {s.chunk: (s, item) for s, item in await self.jobs.chunks(name)}
        self._record_claims(name, found, live)
        count = len(job.chunk_items)
        for number in ((start + n) % count for n in range(count)):
            if f"{name}-{number}" in self.claimed_names:
                continue
            reason = self._takeover_reason(*found[number]) if number in found else None
            if number in found and reason is None:
                continue
            chunk = await self._claim(name, job, number, found.get(number))
            if chunk is not None:
                chunk.takeover = reason
                return chunk
        return None

    def unregister(self, chunk: ClaimedChunk) -> None:
        """Record that no feeder of this host works on a chunk any more."""
        self.claimed_names.discard(chunk.stored.name)

    def record_live(self, live: Collection[str]) -> None:
        """End the absence of live incarnations, so that only continuous ones count."""
        for incarnation in self.absent_since.keys() & set(live):
            del self.absent_since[incarnation]

    def discard_ended_jobs(self, active: Collection[str]) -> None:
        """Discard the observed claims of jobs that are no longer active."""
        self.observed_claims = {
            name: seen for name, seen in self.observed_claims.items() if name in active
        }
        if not self.observed_claims:
            self.absent_since.clear()

    def _record_claims(self, name: str, found: dict, live: Collection[str]) -> None:
        now, before = self.clock(), self.observed_claims.get(name, {})
        self.record_live(live)
        seen = self.observed_claims[name] = {}
        for number, (state, item) in found.items():
            if state.phase is not ChunkPhase.CLAIMED:
                continue
            version, since = before.get(number, (item.version, now))
            seen[number] = (item.version, since if version == item.version else now)
            if state.incarnation not in live:
                self.absent_since.setdefault(state.incarnation, now)

    def _takeover_reason(
        self, state: ChunkState, item: PlatformObject
    ) -> Takeover | None:
        own = state.incarnation == self.holder.incarnation
        if own and state.phase is ChunkPhase.CLAIMED:
            # The response to this host's claim was lost: it is stored under this
            # incarnation, but no feeder works on the chunk.
            return Takeover.OWN
        now = self.clock()
        _, since = self.observed_claims[state.job].get(state.chunk, (item.version, now))
        absent = now - self.absent_since.get(state.incarnation, now)
        return takeover_reason(state, absent, now - since)

    async def _claim(
        self,
        name: str,
        job: Job,
        number: int,
        found: tuple[ChunkState, PlatformObject] | None,
    ) -> ClaimedChunk | None:
        object_name, chunk = f"{name}-{number}", None
        self.claimed_names.add(object_name)
        try:
            claimed = await (
                self._take_over(*found) if found else self._create(name, number)
            )
            if claimed is not None:
                chunk = await self._load_chunk(name, job, number, *claimed)
        finally:
            if chunk is None:
                self.claimed_names.discard(object_name)
        return chunk

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

    async def _take_over(
        self, state: ChunkState, item: PlatformObject
    ) -> tuple[ChunkState, PlatformObject] | None:
        holder = self.holder
        claimed = take_over(state, holder.host, holder.incarnation, uuid.uuid4().hex)
        try:
            stored = await update(
                self.jobs.client, item, encode_chunk(claimed), item.labels
            )
        except PrimrosefordError as error:
            if error.code not in CONFLICT_CODES:
                raise
            return None
        return claimed, stored

    async def _load_chunk(
        self, name: str, job: Job, number: int, state: ChunkState, item: PlatformObject
    ) -> ClaimedChunk:
        yielder, items = LoopYielder(), []
        lines = await self.jobs.files.chunk_lines(job.upload, number)
        for position, line in enumerate(lines, 1):
            items.append(check_line(line.encode(), position))
            await yielder.yield_if_due()
        chunk = ClaimedChunk(name, job, number, state, item, items, self.clock())
        chunk.attempts, chunk.suspects = dict(state.attempts), set(state.suspects)
        for index, checked in enumerate(items):
            if index in state.intents:
                code = ResultCode.ITEM_OUTCOME_UNKNOWN
                chunk.results[index] = ItemResult(index, checked.custom_id, code)
            elif index not in state.done:
                chunk.pending.append(index)
        return chunk


def record_answer(
    chunk: ClaimedChunk, index: int, answer: ItemAnswer, repeatable: bool
) -> NextStep:
    """Record the answer to an item.

    :returns: whether the item has its final result or runs again
    """
    chunk.running.discard(index)
    attempts = chunk.attempts.get(index, 0)
    decision = classify_answer(answer, repeatable, attempts)
    if decision.step is NextStep.RESULT:
        chunk.results[index] = _item_result(
            chunk.items[index], index, answer, decision.code
        )
        return decision.step
    if decision.step is NextStep.RETRY:
        chunk.attempts[index] = attempts + 1
        if decision.isolate:
            chunk.suspects.add(index)
    requeue_item(chunk, index)
    return decision.step


def requeue_item(chunk: ClaimedChunk, index: int) -> None:
    """Put an item back into the queue at its original position."""
    chunk.running.discard(index)
    chunk.pending = sorted({*chunk.pending, index})


def _item_result(
    item: Item, index: int, answer: ItemAnswer, code: ResultCode
) -> ItemResult:
    body = answer.body
    if len(body) > MAX_ANSWER_BYTES:
        code, body = ResultCode.RESULT_TOO_LARGE, b""
    text = body.decode(errors="replace")
    return ItemResult(index, item.custom_id, code, answer.status, text)


async def declare_intents(
    jobs: JobStore, chunk: ClaimedChunk, indexes: Collection[int]
) -> bool:
    """Store the intent to send non-repeatable items, before they are sent.

    :returns: whether they may be sent; false if the claim has ended
    :raises PrimrosefordError: PLATFORM_UNAVAILABLE; the items may not be sent
    """
    if chunk.pending_write is not None:
        await _complete_write(jobs, chunk)
    if not chunk.closed:
        wanted = replace(chunk.state, intents=chunk.state.intents | set(indexes))
        chunk.pending_write = (wanted, [])
        await _complete_write(jobs, chunk)
    return not chunk.closed


async def write_chunk(
    jobs: JobStore, chunk: ClaimedChunk, now: float, release: bool = False
) -> bool:
    """Store new results, and commit the chunk if all items have one.

    :param now: local time in seconds
    :param release: release the claim, so that another host can claim the chunk at once
    :returns: whether no other host has taken the chunk over
    :raises PrimrosefordError: PLATFORM_UNAVAILABLE; the write must be retried
    """
    if chunk.pending_write is not None:
        await _complete_write(jobs, chunk)
    if chunk.closed:
        return not chunk.lost
    results = list(chunk.results.values())
    parts = await store_results(jobs.client, chunk.name, results)
    job, _ = await jobs.read(chunk.name)
    # While items are in flight, the chunk stays claimed; a later write stores
    # their results and stops it.
    phase = ChunkPhase.RELEASED if release else chunk.state.phase
    if job.state is not JobState.ACTIVE and not chunk.running:
        phase = ChunkPhase.STOPPED
    # Pending and withdrawn items were not sent, so their intents are removed.
    base = replace(
        chunk.state,
        attempts=dict(chunk.attempts),
        suspects=frozenset(chunk.suspects),
        intents=chunk.state.intents - set(chunk.pending) - chunk.withdrawn,
    )
    state = checkpointed_state(base, results, parts, phase)
    chunk.pending_write = (commit_if_complete(state, len(chunk.items)), results)
    await _complete_write(jobs, chunk)
    chunk.written_at = now
    return not chunk.lost


async def _complete_write(jobs: JobStore, chunk: ClaimedChunk) -> None:
    # A write whose outcome is unknown is retried unchanged: if the first one took
    # effect, the stored object equals the retried one and counts as written.
    assert chunk.pending_write is not None
    state, results = chunk.pending_write
    if await _write(jobs, chunk, state):
        for result in results:
            chunk.results.pop(result.index, None)
    chunk.pending_write = None


async def _write(jobs: JobStore, chunk: ClaimedChunk, state: ChunkState) -> bool:
    try:
        labels = {"job": chunk.name}
        stored = await update(jobs.client, chunk.stored, encode_chunk(state), labels)
    except PrimrosefordError as error:
        if error.code not in CONFLICT_CODES and error.code is not ResultCode.NOT_FOUND:
            raise
        chunk.lost = True
        return False
    chunk.stored, chunk.state = stored, state
    return True
