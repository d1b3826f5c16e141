"""Compares the responses to a session of requests with a golden file."""

from __future__ import annotations

from pathlib import Path

GOLDEN = Path(__file__).parent / "golden_session.txt"
SHOWN = ("X-Primroseford-Code", "X-Primroseford-Outcome", "Retry-After")


async def show(lines, title, request):
    """Append a summary of one response, without values that differ between runs."""
    async with request as answer:
        content = await answer.read()
    headers = " ".join(f"{n}={answer.headers[n]}" for n in SHOWN if n in answer.headers)
    events = content.count(b"\n\n") if b"data:" in content else 0
    kind = answer.content_type
    lines.append(f"{title}: {answer.status} {kind} events={events} {headers}".rstrip())


async def test_session_matches_the_golden_file(rig):
    """Guards against unintended changes of the responses that callers receive."""
    await rig.start(route={"timeout_seconds": 0.5})
    engine, lines = rig.engines[0], []
    await show(lines, "chat", rig.post(max_tokens=2))
    await show(lines, "chat stream", rig.post(max_tokens=2, stream=True))
    await show(lines, "bad json", rig.post(data="{"))
    await show(lines, "unknown model", rig.post(model="none"))
    await show(lines, "wrong organisation", rig.post(organisation="other"))
    await show(lines, "no key", rig.client.get("/v1/models"))
    await show(lines, "models", rig.client.get("/v1/models", headers=rig.bearer()))
    await show(lines, "open service", rig.client.put("/open/x", data=b"1"))
    rig.service.cut_after_run = True
    await show(lines, "cut service", rig.client.put("/open/x", data=b"1"))
    engine.faults.omit_end_mark = True
    await show(lines, "no end mark", rig.post(max_tokens=2, stream=True))
    engine.faults.omit_end_mark = False
    engine.faults.wrong_request_id = True
    await show(lines, "foreign answer", rig.post())
    engine.faults.wrong_request_id = False
    await show(lines, "recovered", rig.post())
    engine.faults.refuse_status = 500
    await show(lines, "engine error", rig.post())
    engine.faults.refuse_status = 0
    engine.faults.hang = True
    await show(lines, "hang", rig.post())
    engine.faults.hang = False
    rig.withdraw("depot")
    await show(lines, "withdrawn key", rig.post())
    rig.put("pools", "engines", {"runners": []})
    rig.apply()
    await show(lines, "empty pool", rig.post(organisation="vans"))
    assert "\n".join(lines) + "\n" == GOLDEN.read_text()
