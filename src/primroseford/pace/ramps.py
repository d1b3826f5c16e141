"""Runners whose limit is rising, as one host sees them, and the limits that it owns."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import NamedTuple

from primroseford.pace.control import LOWEST_LIMIT
from primroseford.pace.control import Answers
from primroseford.pace.control import next_limit

if TYPE_CHECKING:
    from collections.abc import Collection

    from primroseford.gateway.runners import RunnerKey
    from primroseford.ids import HostId
    from primroseford.request_limits.peer_uses import Process

FULL_REPORT_SECONDS = 1.0
"""Time for which an owner reports that a runner is fully used: after the end of its
ramp, and after each report of a host that does not know of it."""
UNOWNED_SECONDS = 30.0
"""Time after which a host uses a runner fully of which no owner reports a limit. Hosts
of an earlier release may be chosen as owners, and report none."""


class LimitReport(NamedTuple):
    """Limit that another host reports.

    :param at: local time in seconds at which it was valid
    """

    limit: float
    at: float


@dataclass
class Ramp:
    """A runner that is not fully used yet.

    :param full: limit at which it is fully used
    :param since: local time in seconds of the begin
    :param owned: limit that this host computes as the owner; ``None`` at other hosts
    :param owned_at: local time in seconds at which that limit was valid
    :param reports: limits that other hosts report
    :param answers: counts of each host that are included in the limit
    """

    full: float
    since: float
    owned: float | None = None
    owned_at: float = 0.0
    reports: dict[HostId, LimitReport] = field(default_factory=dict)
    answers: dict[Process, Answers] = field(default_factory=dict)

    def limit(self, now: float, max_age: float) -> float | None:
        """Return the limit; ``None`` if no recent one is known.

        If two hosts report one, the lower one applies.

        :param now: local time in seconds
        :param max_age: age in seconds from which a report is ignored
        """
        recent = [r.limit for r in self.reports.values() if now - r.at <= max_age]
        if self.owned is not None:
            recent.append(self.owned)
        return min(recent, default=None)


@dataclass
class Ramps:
    """Ramps of the runners that this host knows.

    :ivar full_until: local time in seconds until which this host reports that a runner
        is fully used
    """

    ramps: dict[RunnerKey, Ramp] = field(default_factory=dict)
    full_until: dict[RunnerKey, float] = field(default_factory=dict)

    def begin(self, runner: RunnerKey, full: float, now: float) -> bool:
        """Limit a runner to the lowest limit; return whether it was fully used before.

        :param full: limit at which it is fully used
        :param now: local time in seconds
        """
        ramp = self.ramps.get(runner)
        self.full_until.pop(runner, None)
        if ramp is None:
            self.ramps[runner] = Ramp(full, now)
            return True
        ramp.full, ramp.since = full, now
        ramp.reports.clear()
        if ramp.owned is not None:
            ramp.owned = LOWEST_LIMIT
        return False

    def note_report(
        self, runner: RunnerKey, full: float, host: HostId, report: LimitReport
    ) -> bool:
        """Apply the limit of another host; return whether the runner was or is limited.

        A limit from before the begin of the ramp is dropped.

        :param full: limit at which the runner is fully used
        """
        ramp = self.ramps.get(runner)
        if report.limit >= full:
            if ramp is None or report.at < ramp.since or ramp.owned is not None:
                return False
            del self.ramps[runner]
            return True
        if ramp is None:
            ramp = self.ramps[runner] = Ramp(full, report.at)
        elif report.at < ramp.since:
            return False
        ramp.reports[host] = report
        return True

    def own(
        self, runner: RunnerKey, is_owner: bool, now: float, max_age: float
    ) -> None:
        """Take over or give up the limit of a runner.

        The next owner starts from the limit that the one before has reported.

        :param now: local time in seconds
        :param max_age: age in seconds from which a report is ignored
        """
        ramp = self.ramps[runner]
        if not is_owner:
            ramp.owned = None
            return
        if ramp.owned is None:
            ramp.owned = ramp.limit(now, max_age) or LOWEST_LIMIT
        ramp.owned_at = now

    def note_answers(
        self, runner: RunnerKey, process: Process, answers: Answers, now: float
    ) -> bool:
        """Apply the counts of a host; return whether the runner is now fully used.

        The first counts of a host are the start for the next ones.

        :param now: local time in seconds
        """
        ramp = self.ramps.get(runner)
        if ramp is None:
            self.full_until[runner] = now + FULL_REPORT_SECONDS
            return False
        before = ramp.answers.get(process)
        ramp.answers[process] = answers
        if before is None or ramp.owned is None:
            return False
        new = answers.since(before)
        if not any(new):
            return False
        ramp.owned = next_limit(ramp.owned, new, ramp.full)
        if ramp.owned < ramp.full:
            return False
        del self.ramps[runner]
        self.full_until[runner] = now + FULL_REPORT_SECONDS
        return True

    def expire(self, listed: Collection[RunnerKey], now: float) -> list[RunnerKey]:
        """End the ramps of runners that are gone, or that nobody owns; return them.

        :param listed: runner instances of the runner list
        :param now: local time in seconds
        """
        for runner, until in list(self.full_until.items()):
            if until <= now or runner not in listed:
                del self.full_until[runner]
        ended = []
        for runner, ramp in list(self.ramps.items()):
            heard_at = max([ramp.since, *(r.at for r in ramp.reports.values())])
            is_unowned = ramp.owned is None and now - heard_at > UNOWNED_SECONDS
            if runner not in listed or is_unowned:
                del self.ramps[runner]
                ended.append(runner)
        return ended
