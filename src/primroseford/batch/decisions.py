"""Decisions on chunks and items: claims, takeovers, verdicts, order of items."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING

from primroseford.batch.state import ChunkPhase
from primroseford.batch.state import ChunkState
from primroseford.batch.state import ItemResult
from primroseford.errors import Outcome
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from primroseford.batch.runners import ItemAnswer

MAX_ATTEMPTS = 3
TAKEOVER_SECONDS = 120.0
ABSENCE_SECONDS = 10.0
"""How long a holder must be absent before its chunk is taken over. Without it, hosts
that start together take chunks from each other until the membership has converged."""
CHECKPOINT_SECONDS = 60.0
"""Half of the takeover time, so that one late checkpoint loses no claim."""
VERDICT_STATUSES = frozenset({400, 413, 422})
"""Statuses by which a runner refuses an item for good."""


class Step(Enum):
    """What follows from an item's answer."""

    RESULT = "result"
    AGAIN = "again"
    ATTEMPT = "attempt"


@dataclass(frozen=True)
class Verdict:
    """What an answer means for its item.

    :param code: result code, if the item has its final result
    :param suspect: the runner died; the item runs alone next time
    """

    step: Step
    code: ResultCode = ResultCode.OK
    suspect: bool = False


class Takeover(Enum):
    """Why a chunk that was claimed before may be claimed again."""

    RELEASED = "released"
    OWN = "own"
    ABSENT = "absent"
    UNCHANGED = "unchanged"


def takeover_reason(
    state: ChunkState, absent_seconds: float, unchanged_seconds: float
) -> Takeover | None:
    """Return why another host may claim a chunk, or nothing if it may not.

    :param absent_seconds: how long this host has seen the holder's incarnation
        absent from the membership
    :param unchanged_seconds: how long this host has seen the object unchanged
    """
    if state.phase is not ChunkPhase.CLAIMED:
        return Takeover.RELEASED if state.phase is ChunkPhase.RELEASED else None
    if min(absent_seconds, unchanged_seconds) >= ABSENCE_SECONDS:
        return Takeover.ABSENT
    return Takeover.UNCHANGED if unchanged_seconds >= TAKEOVER_SECONDS else None


def take_over(
    state: ChunkState, holder: str, incarnation: str, claim: str
) -> ChunkState:
    """Return the state of a chunk after a takeover; intents stay recorded."""
    return replace(
        state,
        holder=holder,
        incarnation=incarnation,
        claim=claim,
        phase=ChunkPhase.CLAIMED,
    )


def judge(answer: ItemAnswer, repeatable: bool, attempts: int) -> Verdict:
    """Return what an answer means for its item.

    :param repeatable: the item may run more than once
    :param attempts: failures of runners before this answer
    """
    if answer.outcome is Outcome.NOT_RUN:
        return Verdict(Step.AGAIN)
    if answer.too_large:
        return Verdict(Step.RESULT, ResultCode.RESULT_TOO_LARGE)
    if 200 <= answer.status < 300:
        return Verdict(Step.RESULT)
    if answer.status in VERDICT_STATUSES:
        return Verdict(Step.RESULT, ResultCode.ITEM_INVALID)
    if not repeatable:
        ran = answer.outcome is Outcome.RAN
        code = ResultCode.RUNNER_FAILED if ran else ResultCode.ITEM_OUTCOME_UNKNOWN
        return Verdict(Step.RESULT, code)
    if attempts + 1 >= MAX_ATTEMPTS:
        return Verdict(Step.RESULT, ResultCode.ITEM_ATTEMPTS_EXHAUSTED)
    return Verdict(Step.ATTEMPT, suspect=answer.died)


def may_start(suspect: bool, running: int, suspect_running: bool) -> bool:
    """Return whether an item may start beside what runs on its runner.

    A suspect runs alone, so that a second death of the runner is its own.

    :param running: batch items that run on the runner
    :param suspect_running: one of them is a suspect
    """
    return running == 0 if suspect else not suspect_running


def saved_state(
    state: ChunkState,
    results: list[ItemResult],
    parts: tuple[str, ...],
    phase: ChunkPhase,
) -> ChunkState:
    """Return the state that names newly stored results.

    :param parts: names of the parts that hold ``results``
    :param phase: STOPPED if the job has ended, RELEASED if the holder stops
    """
    done = state.done | {result.index for result in results}
    failed = state.failed + sum(not result.completed for result in results)
    return replace(
        state,
        parts=(*state.parts, parts) if parts else state.parts,
        done=done,
        failed=failed,
        intents=state.intents - done,
        attempts={k: v for k, v in state.attempts.items() if k not in done},
        suspects=state.suspects - done,
        phase=phase,
    )


def committed(state: ChunkState, items: int) -> ChunkState:
    """Return the state with the commit, if every item has a result.

    :param items: number of items in the chunk
    """
    if state.phase is not ChunkPhase.STOPPED and len(state.done) == items:
        return replace(state, phase=ChunkPhase.COMMITTED)
    return state
