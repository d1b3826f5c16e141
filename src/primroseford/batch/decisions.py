"""Decisions on chunks and items: takeovers, retries, isolation, stored states."""

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
HOLDER_ABSENCE_SECONDS = 10.0
"""Time that a holder must be absent from the membership before its chunk is taken
over. Without it, hosts that start at the same time take over chunks from each other
until the membership has converged."""
CHECKPOINT_INTERVAL_SECONDS = 60.0
"""Half of TAKEOVER_SECONDS, so that one late checkpoint does not lose the claim."""
PERMANENT_REJECTION_STATUSES = frozenset({400, 413, 422})
"""Statuses with which a runner rejects an item permanently; it is not retried."""


class NextStep(Enum):
    """What happens to an item after an answer.

    ``RESULT`` is final, ``REQUEUE`` does not count as an attempt and ``RETRY`` does.
    """

    RESULT = "result"
    REQUEUE = "again"
    RETRY = "attempt"


@dataclass(frozen=True)
class AnswerDecision:
    """Decision on an item after an answer.

    :param code: result code, if the item has its final result
    :param isolate: the runner died; the next attempt runs alone on its runner
    """

    step: NextStep
    code: ResultCode = ResultCode.OK
    isolate: bool = False


class Takeover(Enum):
    """Why a chunk that was claimed before may be claimed again.

    ``RELEASED``: its holder released it. ``OWN``: the response to this host's own
    claim was lost. ``ABSENT``: its holder left the membership. ``UNCHANGED``: its
    holder has not written it for too long.
    """

    RELEASED = "released"
    OWN = "own"
    ABSENT = "absent"
    UNCHANGED = "unchanged"


def takeover_reason(
    state: ChunkState, absent_seconds: float, unchanged_seconds: float
) -> Takeover | None:
    """Return why a chunk may be taken over, or nothing if it may not.

    :param absent_seconds: how long this host has seen the holder's incarnation
        absent from the membership
    :param unchanged_seconds: how long this host has seen the object unchanged
    """
    if state.phase is not ChunkPhase.CLAIMED:
        return Takeover.RELEASED if state.phase is ChunkPhase.RELEASED else None
    if min(absent_seconds, unchanged_seconds) >= HOLDER_ABSENCE_SECONDS:
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


def classify_answer(
    answer: ItemAnswer, repeatable: bool, attempts: int
) -> AnswerDecision:
    """Decide whether an item has its result or runs again.

    :param repeatable: the item may run more than once
    :param attempts: failed attempts before this answer
    """
    if answer.outcome is Outcome.NOT_RUN:
        return AnswerDecision(NextStep.REQUEUE)
    if answer.too_large:
        return AnswerDecision(NextStep.RESULT, ResultCode.RESULT_TOO_LARGE)
    if 200 <= answer.status < 300:
        return AnswerDecision(NextStep.RESULT)
    if answer.status in PERMANENT_REJECTION_STATUSES:
        return AnswerDecision(NextStep.RESULT, ResultCode.ITEM_INVALID)
    if not repeatable:
        ran = answer.outcome is Outcome.RAN
        code = ResultCode.RUNNER_FAILED if ran else ResultCode.ITEM_OUTCOME_UNKNOWN
        return AnswerDecision(NextStep.RESULT, code)
    if attempts + 1 >= MAX_ATTEMPTS:
        return AnswerDecision(NextStep.RESULT, ResultCode.ITEM_ATTEMPTS_EXHAUSTED)
    return AnswerDecision(NextStep.RETRY, isolate=answer.died)


def may_start_item(suspect: bool, running: int, suspect_running: bool) -> bool:
    """Return whether an item may start beside the items in flight on its runner.

    An item whose runner died runs alone on its next attempt: if a runner dies again,
    that item is the cause.

    :param suspect: a runner died during an earlier attempt of the item
    :param running: number of batch items in flight on the runner
    :param suspect_running: one of them is a suspect
    """
    return running == 0 if suspect else not suspect_running


def checkpointed_state(
    state: ChunkState,
    results: list[ItemResult],
    parts: tuple[str, ...],
    phase: ChunkPhase,
) -> ChunkState:
    """Return the state of a chunk that refers to newly stored results.

    :param parts: names of the stored parts that contain ``results``
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


def commit_if_complete(state: ChunkState, items: int) -> ChunkState:
    """Return the state, committed if every item has a result.

    :param items: number of items in the chunk
    """
    if state.phase is not ChunkPhase.STOPPED and len(state.done) == items:
        return replace(state, phase=ChunkPhase.COMMITTED)
    return state
