"""Stored form of files, jobs, chunks and results in the platform's service."""

from __future__ import annotations

from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Any

from primroseford.errors import ResultCode

FILES = "files"
UPLOADS = "uploads"
FILE_CHUNKS = "filechunks"
JOBS = "jobs"
CHUNK_STATES = "chunkstates"
RESULT_PARTS = "resultparts"

Spec = dict[str, Any]


class JobState(Enum):
    """State of a job; every state except ACTIVE is final."""

    ACTIVE = "active"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


class ChunkPhase(Enum):
    """Phase of a chunk; a chunk that was never claimed has no stored object."""

    CLAIMED = "claimed"
    RELEASED = "released"
    COMMITTED = "committed"
    STOPPED = "stopped"


@dataclass(frozen=True)
class FileManifest:
    """An uploaded input file; its items are stored in ``filechunks`` objects.

    :param upload: id of the upload that stored the chunks
    :param size: bytes of the uploaded content
    :param chunk_items: number of items in each chunk
    :param created_at: seconds since the epoch
    """

    organisation: str
    filename: str
    sha256: str
    upload: str
    size: int
    chunk_items: list[int]
    endpoint: str
    model: str | None
    created_at: float

    @property
    def items(self) -> int:
        """Number of items in the file."""
        return sum(self.chunk_items)


@dataclass(frozen=True)
class Job:
    """An accepted job.

    :param fingerprint: hash of the request, to distinguish a resent request from
        a conflicting one
    :param window: the request's ``completion_window``
    :param due_at: seconds since the epoch; unfinished items expire then
    :param finished_at: seconds since the epoch; 0 while the job is active
    """

    organisation: str
    file: str
    upload: str
    endpoint: str
    model: str | None
    chunk_items: list[int]
    fingerprint: str
    window: str
    due_at: float
    created_at: float
    metadata: dict[str, str] = field(default_factory=dict)
    state: JobState = JobState.ACTIVE
    finished_at: float = 0.0

    @property
    def items(self) -> int:
        """Number of items in the job."""
        return sum(self.chunk_items)


@dataclass(frozen=True)
class ItemResult:
    """The final result of one item.

    :param index: position of the item in its chunk
    :param status: HTTP status of the runner's answer; 0 without an answer
    :param body: the runner's answer as text
    """

    index: int
    custom_id: str
    code: ResultCode
    status: int = 0
    body: str = ""

    @property
    def completed(self) -> bool:
        """Whether the runner's answer is the item's result."""
        return self.code is ResultCode.OK


@dataclass(frozen=True)
class ChunkState:
    """The stored state of a claimed chunk.

    :param incarnation: unique for each start of the holder's process
    :param claim: unique for each claim, so that two claims of one host differ
    :param attempts: failed attempts by item
    :param suspects: items whose runner died; each runs alone on its runner
    :param intents: non-repeatable items that may have been sent
    :param parts: groups of ``resultparts`` names; the texts of a group are concatenated
    :param done: items that have a result in ``parts``
    """

    job: str
    chunk: int
    holder: str
    incarnation: str
    claim: str
    phase: ChunkPhase = ChunkPhase.CLAIMED
    attempts: dict[int, int] = field(default_factory=dict)
    suspects: frozenset[int] = frozenset()
    intents: frozenset[int] = frozenset()
    parts: tuple[tuple[str, ...], ...] = ()
    done: frozenset[int] = frozenset()
    failed: int = 0


def encode_file(manifest: FileManifest) -> Spec:
    """Return the stored form of a manifest."""
    return asdict(manifest)


def decode_file(spec: Spec) -> FileManifest:
    """Return the manifest in a stored object."""
    return FileManifest(**spec)


def encode_job(job: Job) -> Spec:
    """Return the stored form of a job."""
    return asdict(job) | {"state": job.state.value}


def decode_job(spec: Spec) -> Job:
    """Return the job in a stored object."""
    return Job(**(spec | {"state": JobState(spec["state"])}))


def encode_runs(numbers: frozenset[int]) -> list[list[int]]:
    """Return numbers as [first, last] ranges, which keeps stored chunks small."""
    runs: list[list[int]] = []
    for number in sorted(numbers):
        if runs and runs[-1][1] == number - 1:
            runs[-1][1] = number
        else:
            runs.append([number, number])
    return runs


def decode_runs(runs: list[list[int]]) -> frozenset[int]:
    """Return the numbers in [first, last] ranges."""
    return frozenset(n for first, last in runs for n in range(first, last + 1))


def encode_chunk(state: ChunkState) -> Spec:
    """Return the stored form of a chunk's state."""
    return {
        "job": state.job,
        "chunk": state.chunk,
        "holder": state.holder,
        "incarnation": state.incarnation,
        "claim": state.claim,
        "phase": state.phase.value,
        "attempts": {str(k): v for k, v in sorted(state.attempts.items())},
        "suspects": sorted(state.suspects),
        "intents": sorted(state.intents),
        "parts": [list(group) for group in state.parts],
        "done": encode_runs(state.done),
        "failed": state.failed,
    }


def decode_chunk(spec: Spec) -> ChunkState:
    """Return the chunk's state in a stored object."""
    return ChunkState(
        job=spec["job"],
        chunk=spec["chunk"],
        holder=spec["holder"],
        incarnation=spec["incarnation"],
        claim=spec["claim"],
        phase=ChunkPhase(spec["phase"]),
        attempts={int(k): v for k, v in spec["attempts"].items()},
        suspects=frozenset(spec["suspects"]),
        intents=frozenset(spec["intents"]),
        parts=tuple(tuple(group) for group in spec["parts"]),
        done=decode_runs(spec["done"]),
        failed=spec["failed"],
    )


def encode_result(result: ItemResult) -> Spec:
    """Return the stored form of an item's result."""
    return asdict(result) | {"code": int(result.code)}


def decode_result(spec: Spec) -> ItemResult:
    """Return the item's result in its stored form."""
    return ItemResult(**(spec | {"code": ResultCode(spec["code"])}))
