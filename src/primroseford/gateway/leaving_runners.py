"""Runners that have said in a response that they leave.

The runner list shows this later, or not at all while the platform is away. A runner
that leaves does not come back; one that is started again is another instance.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseford.gateway.gen.messages.ttypes import LeavingRunner
from primroseford.gateway.runners import RunnerKey
from primroseford.ids import RunnerName

if TYPE_CHECKING:
    from collections.abc import Collection

    from primroseford.gateway.gen.messages.ttypes import Heartbeat

REPORT_SECONDS = 2.0
"""Time for which a host reports such a response to the others."""
MAX_REPORTED_RUNNERS = 40
"""Runners in one heartbeat, which must fit a datagram."""
RETENTION_SECONDS = 600.0
"""Time for which a runner is remembered that the runner list no longer has. Its entry
may have expired in an outage of the platform and be written again."""


@dataclass
class LeavingRunners:
    """Runner instances that leave.

    :ivar seen: local time in seconds of the first notice, by runner instance
    :ivar heard: those of them that have said so in a response to this host
    """

    seen: dict[RunnerKey, float] = field(default_factory=dict)
    heard: dict[RunnerKey, float] = field(default_factory=dict)

    def __contains__(self, runner: RunnerKey) -> bool:
        return runner in self.seen

    def note(self, runner: RunnerKey, now: float) -> bool:
        """Record a response to this host; return whether this is new.

        :param now: local time in seconds
        """
        self.heard.setdefault(runner, now)
        return self.merge(runner, now)

    def merge(self, runner: RunnerKey, now: float) -> bool:
        """Record the report of another host; return whether this is new.

        :param now: local time in seconds
        """
        if runner in self.seen:
            return False
        self.seen[runner] = now
        return True

    def forget(self, listed: Collection[RunnerKey], now: float) -> None:
        """Drop runners that have not been listed for long.

        :param listed: runner instances of the runner list
        :param now: local time in seconds
        """
        for runner in listed:
            if runner in self.seen:
                self.seen[runner] = now
        for runner, at in list(self.seen.items()):
            if now - at >= RETENTION_SECONDS:
                del self.seen[runner]
                self.heard.pop(runner, None)

    def reports(self, now: float) -> list[LeavingRunner]:
        """Return the newest notices to this host, for its heartbeat.

        :param now: local time in seconds
        """
        recent = [
            runner for runner, at in self.heard.items() if now - at < REPORT_SECONDS
        ]
        return [
            LeavingRunner(runner.name, runner.born)
            for runner in recent[-MAX_REPORTED_RUNNERS:]
        ]


def reported_runners(heartbeat: Heartbeat) -> list[RunnerKey]:
    """Return the runners of which another host reports that they leave."""
    return [
        RunnerKey(RunnerName(report.runner), report.born)
        for report in heartbeat.leaving_runners or ()
    ]
