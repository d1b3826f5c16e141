"""Refusals after all hosts restart at once, by the initial tokens of their buckets."""

from __future__ import annotations

from bench.report import Report
from primroseford.proof.quota_simulation import RATE
from primroseford.proof.quota_simulation import Restart
from primroseford.proof.quota_simulation import most_in_window
from primroseford.proof.quota_simulation import simulate_quotas

COMMAND = 'make bench ARGS="quota_start"'
LAG_SECONDS_BY_HOSTS = {8: 0.06, 54: 0.2, 165: 0.62}
"""Numbers of hosts, and the lag of the heartbeats between them in seconds."""
START_TOKENS = (0, 1, 2)
LOSS_AT_SECONDS, DOWN_SECONDS = 20.0, 1.5
"""When all hosts fail, and how long they are down."""
COUNTED_SECONDS = 1.5
"""Time after the restart during which refusals are counted."""


async def measure() -> Report:
    """Simulate the restarts and return the figures."""
    report = Report("quota_start", COMMAND)
    for hosts, lag in LAG_SECONDS_BY_HOSTS.items():
        for tokens in START_TOKENS:
            outcome = simulate_quotas(
                hosts,
                RATE,
                lag,
                restart=Restart(LOSS_AT_SECONDS, DOWN_SECONDS, tokens=tokens),
            )
            start = LOSS_AT_SECONDS + DOWN_SECONDS
            refused = sum(
                start <= at < start + COUNTED_SECONDS for at in outcome.refused
            )
            name = f"refused, {hosts} hosts that begin with {tokens} tokens"
            note = f"most in 5 s: {most_in_window(outcome.admitted)}"
            report.add_figure(name, refused, "requests", note)
    return report
