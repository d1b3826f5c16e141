from __future__ import annotations

import asyncio

import aiohttp
import openai
import pytest

from primroseford.batch.jobs import check_request
from primroseford.batch.state import FILE_CHUNKS
from primroseford.batch.state import FILES
from primroseford.batch.state import JOBS
from primroseford.batch.state import JobState
from primroseford.batch.tests.conftest import ENDPOINT
from primroseford.batch.tests.conftest import lines
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

REQUEST = {
    "input_file_id": "file-1",
    "endpoint": ENDPOINT,
    "completion_window": "24h",
}
BAD_REQUESTS = [
    ([], "body"),
    ({}, "input_file_id"),
    (REQUEST | {"extra": 1}, "extra"),
    (REQUEST | {"endpoint": 1}, "endpoint"),
    (REQUEST | {"input_file_id": "f" * 129}, "input_file_id"),
    (REQUEST | {"completion_window": "1h"}, "completion_window"),
    (REQUEST | {"metadata": []}, "metadata"),
    (REQUEST | {"metadata": {str(n): "" for n in range(17)}}, "metadata"),
    (REQUEST | {"metadata": {"k" * 65: ""}}, "metadata"),
    (REQUEST | {"metadata": {"k": 1}}, "metadata.k"),
    (REQUEST | {"metadata": {"due_in_seconds": "-1"}}, "metadata.due_in_seconds"),
    (REQUEST | {"metadata": {"due_in_seconds": "59"}}, "metadata.due_in_seconds"),
    (REQUEST | {"metadata": {"due_in_seconds": "86401"}}, "metadata.due_in_seconds"),
]


@pytest.mark.parametrize(("body", "field"), BAD_REQUESTS)
def test_bad_job_request_names_its_field(body, field):
    """Guards against unbounded or unknown fields of a job."""
    with pytest.raises(PrimrosefordError) as caught:
        check_request(body, "")
    assert caught.value.field == field


async def submit(client: openai.AsyncOpenAI, count: int = 3, key: str = ""):
    """Upload a file and create its job."""
    file = await client.files.create(file=("in.jsonl", lines(count)), purpose="batch")
    return await client.batches.create(
        input_file_id=file.id,
        endpoint=ENDPOINT,
        completion_window="24h",
        extra_headers={"Idempotency-Key": key} if key else {},
    )


async def test_openai_client_works_unmodified(batch_host):
    """Guards against responses that OpenAI's client cannot parse."""
    async with batch_host.openai() as client:
        job = await submit(client, 1200)
        assert job.status == "in_progress"
        assert job.request_counts.total == 1200
        file = await client.files.retrieve(job.input_file_id)
        assert file.purpose == "batch"
        content = await client.files.content(file.id)
        assert content.content.rstrip() == lines(1200)
        assert (await client.batches.retrieve(job.id)).id == job.id
        assert [j.id async for j in client.batches.list(limit=1)] == [job.id]
        with pytest.raises(openai.ConflictError):
            await client.files.delete(file.id)
        assert (await client.batches.cancel(job.id)).status == "cancelled"
        errors = await client.files.content(f"{job.id}-errors")
        assert len(errors.text.splitlines()) == 1200
        assert str(int(ResultCode.JOB_CANCELLED)) in errors.text
        assert (await client.files.delete(file.id)).deleted


async def test_resent_uploads_and_jobs_are_stored_once(batch_host):
    """Guards against a client's retry that runs a job twice."""
    async with batch_host.openai() as client:
        jobs = await asyncio.gather(*(submit(client) for _ in range(4)))
        again = await submit(client)
    objects = batch_host.platform.state.objects
    assert {job.id for job in jobs} == {again.id}
    assert len(objects[JOBS]) == len(objects[FILES]) == len(objects[FILE_CHUNKS]) == 1


async def test_same_key_with_other_content_is_refused(batch_host):
    """Guards against a job that silently replaces or duplicates another."""
    async with batch_host.openai() as client:
        await submit(client, 3, "night")
        with pytest.raises(openai.ConflictError) as caught:
            await submit(client, 4, "night")
    assert int(caught.value.code) == int(ResultCode.IDEMPOTENCY_CONFLICT)


async def test_other_organisations_cannot_access_files_or_jobs(batch_host):
    """Guards against files, jobs and results that another organisation can read."""
    async with batch_host.openai() as client:
        job = await submit(client)
    async with batch_host.openai("garage") as other:
        for call in (
            other.files.retrieve(job.input_file_id),
            other.files.content(job.input_file_id),
            other.files.delete(job.input_file_id),
            other.files.retrieve(f"{job.id}-output"),
            other.files.content(f"{job.id}-output"),
            other.batches.retrieve(job.id),
            other.batches.cancel(job.id),
            other.batches.create(
                input_file_id=job.input_file_id,
                endpoint=ENDPOINT,
                completion_window="24h",
            ),
        ):
            with pytest.raises(openai.NotFoundError):
                await call
        assert not (await other.batches.list()).data
    async with batch_host.openai("outsider") as outsider:
        with pytest.raises(openai.PermissionDeniedError):
            await submit(outsider)


async def test_withdrawn_key_cannot_read_results(batch_host):
    """Guards against results that a withdrawn key can still read."""
    async with batch_host.openai() as client:
        job = await submit(client)
        batch_host.replace_tables(withdrawn=True)
        with pytest.raises(openai.AuthenticationError):
            await client.files.content(f"{job.id}-output")


async def test_requests_fail_in_an_outage_without_effect(batch_host):
    """Guards against a write that is acknowledged in an outage but not stored."""
    async with batch_host.openai() as client:
        job = await submit(client)
        batch_host.platform.faults.down = True
        for call in (submit, lambda c: c.batches.cancel(job.id)):
            with pytest.raises(openai.InternalServerError) as caught:
                await call(client)
            assert int(caught.value.code) == int(ResultCode.PLATFORM_UNAVAILABLE)
        batch_host.platform.faults.down = False
        assert (await batch_host.jobs.read(job.id))[0].state is JobState.ACTIVE
    assert len(batch_host.platform.state.objects[JOBS]) == 1


async def test_lost_answers_do_not_double_a_job(batch_host):
    """Guards against a second job or file after the response to a write was lost."""
    async with batch_host.openai() as client:
        batch_host.platform.faults.lose_write_answers = 5
        job = await submit(client)
        assert (await submit(client)).id == job.id
    assert len(batch_host.platform.state.objects[JOBS]) == 1


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"purpose": "batch"}, ResultCode.MISSING_FIELD),
        ({"purpose": "tune", "file": lines(1)}, ResultCode.INVALID_VALUE),
        ({"file": lines(1)}, ResultCode.MISSING_FIELD),
        ({"purpose": "batch", "file": b"\n\n"}, ResultCode.MISSING_FIELD),
        ({"purpose": "batch", "other": b"1"}, ResultCode.UNKNOWN_FIELD),
        ({"purpose": "batch", "file": b"{}"}, ResultCode.ITEM_INVALID),
    ],
)
async def test_bad_upload_is_refused_and_leaves_nothing(batch_host, fields, code):
    """Guards against chunks that remain stored after a refused upload."""
    form = aiohttp.FormData(fields, default_to_multipart=True)
    headers = {"Authorization": f"Bearer {batch_host.secrets['depot']}"}
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f"{batch_host.url}/v1/files", data=form, headers=headers
        ) as answer,
    ):
        assert (await answer.json())["error"]["code"] == int(code)
    if "file" in fields and "purpose" in fields:
        assert not batch_host.platform.state.objects.get(FILE_CHUNKS)
