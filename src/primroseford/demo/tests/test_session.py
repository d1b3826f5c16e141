from __future__ import annotations

from primroseford.demo.session import run_demo


async def test_demo_passes(capsys):
    """Guards against a fault in any step of serving that the demo checks."""
    assert await run_demo() == 0
    assert capsys.readouterr().out.splitlines()[-1] == "demo: ok"
