from __future__ import annotations

from primroseford.demo.session import run_demo


async def test_demo_session_holds(capsys):
    """Guards against a break anywhere on the whole path of a request."""
    assert await run_demo() == 0
    assert capsys.readouterr().out.splitlines()[-1] == "demo: ok"
