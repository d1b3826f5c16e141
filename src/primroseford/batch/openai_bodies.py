"""JSON bodies in the format of OpenAI's clients."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.batch.state import Job
from primroseford.batch.state import JobState

if TYPE_CHECKING:
    from primroseford.batch.jobs import Progress
    from primroseford.batch.state import FileManifest

BATCH_STATUS = {
    JobState.ACTIVE: "in_progress",
    JobState.COMPLETED: "completed",
    JobState.CANCELLED: "cancelled",
    JobState.EXPIRED: "expired",
}


def file_body(file_id: str, source: FileManifest | Job) -> dict:
    """Return the body that describes an input or output file.

    The size of an output file is reported as 0, since its content is generated when
    it is read.
    """
    output = isinstance(source, Job)
    return {
        "id": file_id,
        "object": "file",
        "bytes": 0 if output else source.size,
        "created_at": int(source.created_at),
        "filename": f"{file_id}.jsonl" if output else source.filename,
        "purpose": "batch_output" if output else "batch",
        "status": "processed",
    }


def output_file_ids(name: str) -> tuple[str, str]:
    """Return the file ids of a job's completed and of its failed items."""
    return f"{name}-output", f"{name}-errors"


def batch_body(name: str, job: Job, progress: Progress) -> dict:
    """Return the body that describes a job."""
    output, errors = output_file_ids(name)
    ended = job.state is not JobState.ACTIVE
    end_time = {f"{job.state.value}_at": int(job.finished_at)} if ended else {}
    failed = progress.failed
    # Items that were not run before the job ended count as failed.
    if job.state in (JobState.CANCELLED, JobState.EXPIRED):
        failed = job.items - progress.completed
    return {
        "id": name,
        "object": "batch",
        "endpoint": job.endpoint,
        "errors": None,
        "input_file_id": job.file,
        "completion_window": job.window,
        "status": BATCH_STATUS[job.state],
        "output_file_id": output if progress.completed else None,
        "error_file_id": errors if failed else None,
        "created_at": int(job.created_at),
        "in_progress_at": int(job.created_at),
        "expires_at": int(job.due_at),
        "request_counts": {
            "total": job.items,
            "completed": progress.completed,
            "failed": failed,
        },
        "metadata": job.metadata or None,
    } | end_time
