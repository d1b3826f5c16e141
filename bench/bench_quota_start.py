"""Refusals after a start of all hosts at once, by the tokens that each begins with."""

from __future__ import annotations

from bench.report import Report
from primroseford.proof.quota_simulation import RATE
from primroseford.proof.quota_simulation import Restart
from primroseford.proof.quota_simulation import most_in_window
from primroseford.proof.quota_simulation import simulate_quotas

COMMAND = 'make bench ARGS="quota_start"'
FLEETS = {8: 0.06, 54: 0.2, 165: 0.62}
"""Hosts, and the age in seconds of what they know of each other."""
TOKENS = (0, 1, 2)
AT, DOWN = 20.0, 1.5
"""When all hosts are lost, and for how long, in seconds."""
COUNTED_SECONDS = 1.5
"""Time after the start in which refusals are counted."""


async def measure() -> Report:
    """Replay and return the figures."""
    report = Report("quota_start", COMMAND)
    for hosts, lag in FLEETS.items():
        for tokens in TOKENS:
            found = simulate_quotas(
                hosts, RATE, lag, restart=Restart(AT, DOWN, tokens=tokens)
            )
            begin = AT + DOWN
            refused = sum(begin <= at < begin + COUNTED_SECONDS for at in found.refused)
            name = f"refused, {hosts} hosts that begin with {tokens} tokens"
            note = f"most in 5 s: {most_in_window(found.admitted)}"
            report.plain(name, refused, "requests", note)
    return report
