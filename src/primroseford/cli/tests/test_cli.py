"""Runs commands against the stand-ins."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

import pytest
import yaml
from aiohttp import web
from cleo.testers.application_tester import ApplicationTester

from primroseford.cli.application import create_application
from primroseford.cli.exits import Exit
from primroseford.configuration.edits import drain_runner
from primroseford.configuration.edits import withdraw_key
from primroseford.configuration.tests.fakes import FakePlatform
from primroseford.standins.platform import create_platform_application
from primroseford.standins.platform import create_platform_stand_in
from primroseford.standins.serving import serve

EXAMPLES = Path(__file__).parents[4] / "examples"


def run(arguments):
    """Run one command in a thread, since commands start their own event loop."""

    def call():
        tester = ApplicationTester(create_application())
        code = tester.execute(arguments, supports_utf8=False)
        return code, tester.io.fetch_output(), tester.io.fetch_error()

    return asyncio.to_thread(call)


@pytest.fixture
async def platform():
    stand_in = create_platform_stand_in()
    served = await serve(create_platform_application(stand_in))
    yield stand_in, served.url
    await served.stop()


@pytest.mark.parametrize("name", ["caroni", "hokuyo"])
async def test_examples_apply_once(platform, name):
    """Guards against invalid examples, and against an apply that is not idempotent."""
    stand_in, url = platform
    folder = EXAMPLES / name
    assert await run(f"check {folder}") == (Exit.OK, "no problems found\n", "")
    code, output, _ = await run(f"apply {folder} --dry-run --platform {url}")
    assert code == Exit.OK and "create pools/" in output
    assert not stand_in.state.objects.get("pools")
    code, _, error = await run(f"apply {folder} --platform {url}")
    assert (code, error) == (Exit.OK, "")
    assert len(stand_in.state.objects["organisations"]) == 8
    code, output, _ = await run(f"diff {folder} --platform {url}")
    assert (code, output) == (Exit.OK, "no differences\n")


async def test_keys_are_shown_once(platform):
    """Guards against a key's secret that is stored on the platform or listed."""
    stand_in, url = platform
    organisation = {"metadata": {"name": "a"}, "spec": {"rate": 1, "burst": 1}}
    stand_in.state.create("organisations", organisation)
    code, output, _ = await run(f"key create a --platform {url} --format json")
    key = json.loads(output)
    assert code == Exit.OK
    assert key["secret"] not in json.dumps(stand_in.state.objects)
    code, *_ = await run(f"key withdraw {key['id']} --platform {url}")
    assert code == Exit.OK
    code, output, _ = await run(f"key list --platform {url}")
    assert output == f"{key['id']}\ta\twithdrawn\n"
    code, _, error = await run(f"key create absent --platform {url}")
    assert code == Exit.NOT_FOUND and error.startswith("Error 1009: ")


@pytest.mark.parametrize("argument", ["request/ab12", "name-1"])
async def test_quarantine_is_listed_and_lifted(platform, argument):
    """Guards against operators who need store calls, and against a wrong one lifted."""
    stand_in, url = platform
    specs = {
        "name-1": {"part": "request/ab12", "trial_at": 0.0},
        "name-2": {"part": "5c1e07a2", "trial_at": time.time() + 1000.0},
        "name-3": {"trial_at": "soon"},
    }
    for name, spec in specs.items():
        item = {"metadata": {"name": name}, "spec": spec}
        stand_in.state.create("prompt-quarantines", item)
    code, output, _ = await run(f"quarantine list --platform {url}")
    first, second, third = output.splitlines()
    assert code == Exit.OK and first == "request/ab12\ttried again in 0 s"
    assert second.startswith("5c1e07a2\ttried again in ")
    assert third == "name-3\tunreadable"
    code, output, _ = await run(f"quarantine lift {argument} --platform {url}")
    assert code == Exit.OK and output == f"the quarantine of {argument} is lifted\n"
    assert set(stand_in.state.objects["prompt-quarantines"]) == {"name-2", "name-3"}
    code, _, error = await run(f"quarantine lift {argument} --platform {url}")
    assert code == Exit.NOT_FOUND and error.startswith("Error 1009: ")


async def test_list_of_no_quarantines(platform):
    """Guards against an empty output that looks like a failed command."""
    _, url = platform
    assert await run(f"quarantine list --platform {url}") == (Exit.OK, "none\n", "")


@pytest.mark.parametrize(
    "arguments, code, text",
    [
        ("get routes", Exit.USAGE, "--platform is missing"),
        ("get routes --platform http://127.0.0.1:1", Exit.UNAVAILABLE, "5001"),
        ("get routes --format xml", Exit.USAGE, "format"),
        ("job status j --api http://127.0.0.1:1", Exit.USAGE, "--key is missing"),
        ("job status j --api http://127.0.0.1:1 --key k", Exit.UNAVAILABLE, "5006"),
        ("job results j /absent/x --api http://127.0.0.1:1 --key k", Exit.FAILED, "x"),
        ("apply /absent.yaml --platform http://127.0.0.1:1", Exit.INVALID, "absent"),
    ],
)
async def test_errors_have_exit_codes_and_messages(monkeypatch, arguments, code, text):
    """Guards against tracebacks and undocumented exit codes."""
    for name in ("PLATFORM", "HOST", "API", "KEY"):
        monkeypatch.delenv(f"PRIMROSEFORD_{name}", raising=False)
    actual_code, _, error = await run(arguments)
    assert actual_code == code
    assert text in error and "Traceback" not in error


async def test_check_reports_settings_and_tables_together(tmp_path):
    """Guards against a check that stops at the first file with a problem."""
    (tmp_path / "a.yaml").write_text("kind: Pool\n---\n{kind: Route, name: r}\n")
    (tmp_path / "b.yaml").write_text(yaml.safe_dump({"peer_listen": 3}))
    (tmp_path / "c.yaml").write_text("a: [")
    code, output, _ = await run(f"check {tmp_path} --format json")
    fields = " ".join(problem["field"] for problem in json.loads(output))
    assert code == Exit.INVALID
    for field in ("document 1.name", "Route/r.pool", "b.yaml", "c.yaml"):
        assert field in fields


@pytest.mark.parametrize(
    "content",
    [
        'a: !!int ""',
        "a: !!timestamp x",
        "a: " + "[" * 5_000,
        'kind: Route\nname: "\\ud800"',
        "kind: [key-of-caroni",
    ],
)
async def test_check_reports_unparseable_files(tmp_path, content):
    """Guards against tracebacks, and against excerpts of files that may hold keys."""
    (tmp_path / "a.yaml").write_text(content)
    code, output, error = await run(f"check {tmp_path}")
    assert (code, error) == (Exit.INVALID, "")
    assert output and "key-of-caroni" not in output
    output.encode()


async def test_apply_waits_and_lists_unconfirmed_hosts(platform, monkeypatch):
    """Guards against a wait that ends before the edit is in force on all hosts."""
    stand_in, url = platform
    monkeypatch.setattr("primroseford.cli.commands.apply.WAIT_SECONDS", 0.1)
    late = {"version": 0, "age": 1.0}

    async def versions(_):
        newest = {"version": stand_in.state.version, "age": 0.1}
        return web.json_response({"a": newest, "b": late, "c": None})

    app = web.Application()
    app.router.add_get("/versions", versions)
    host = await serve(app)
    options = f"--platform {url} --host {host.url}"
    code, output, _ = await run(f"apply {EXAMPLES / 'caroni'} --wait {options}")
    assert code == Exit.UNCONFIRMED and "not confirmed by: b, c" in output
    code, output, _ = await run(f"status {options}")
    assert code == Exit.OK and "host c: not confirmed" in output
    await host.stop()


def job_application(received):
    """Return the application of a host with one completed job.

    :param received: collects the uploaded files and the input file ids of jobs
    """
    job = {"id": "j", "status": "completed", "output_file_id": "out"}

    async def files(request):
        form = await request.post()
        received.append(form["file"].file.read())
        return web.json_response({"id": "f"})

    async def batches(request):
        received.append((await request.json())["input_file_id"])
        return web.json_response(job)

    async def show_job(request):
        return web.json_response(job)

    async def content(request):
        return web.Response(body=b"result\n")

    app = web.Application()
    app.router.add_post("/v1/files", files)
    app.router.add_post("/v1/batches", batches)
    app.router.add_get("/v1/batches/j", show_job)
    app.router.add_post("/v1/batches/j/cancel", show_job)
    app.router.add_get("/v1/files/out/content", content)
    return app


async def test_job_session(tmp_path):
    """Guards against job commands that do not use the OpenAI-compatible paths."""
    received = []
    host = await serve(job_application(received))
    items, results = tmp_path / "items.jsonl", tmp_path / "results.jsonl"
    items.write_bytes(b"{}\n")
    options = f"--api {host.url} --key k"
    commands = (
        f"submit {items}",
        "status j --wait",
        "cancel j",
        f"results j {results}",
    )
    for command in commands:
        code, _, error = await run(f"job {command} {options}")
        assert (code, error) == (Exit.OK, "")
    assert received == [b"{}\n", "f"]
    assert results.read_bytes() == b"result\n"
    await host.stop()


async def test_writes_with_a_lost_response_are_reported_as_done(platform, tmp_path):
    """Guards against an apply that fails, or writes twice, when the connection breaks
    after the platform has made the write."""
    stand_in, url = platform
    table = tmp_path / "a.yaml"
    tables = [f"{{kind: Organisation, name: a, rate: {n}, burst: 1}}" for n in (1, 2)]
    for version, text in enumerate([*tables, ""], start=1):
        table.write_text(text)
        stand_in.faults.lose_write_answers = 1
        code, output, error = await run(f"apply {table} --prune --platform {url}")
        assert (code, error) == (Exit.OK, "")
        assert "done" in output
        assert stand_in.state.version == version
    assert not stand_in.state.objects["organisations"]


async def test_concurrent_edits_through_different_tools_are_both_kept():
    """Guards against a drain that overwrites a concurrent edit of the same pool."""
    platform = FakePlatform()
    runners = [{"name": "r1"}, {"name": "r2"}]
    platform.put("pools", "p", {"runners": runners, "queue_limit": 1})
    platform.put("keys", "k", {"withdrawn": False})
    concurrent_spec = {"runners": runners, "queue_limit": 9}
    platform.before_write.append(lambda: platform.put("pools", "p", concurrent_spec))
    await drain_runner(platform.client(), "p", "r2")
    spec = platform.objects["pools", "p"].spec
    assert spec["queue_limit"] == 9
    assert [r.get("state") for r in spec["runners"]] == [None, "leaving"]
    version = await withdraw_key(platform.client(), "k")
    assert await withdraw_key(platform.client(), "k") == version
