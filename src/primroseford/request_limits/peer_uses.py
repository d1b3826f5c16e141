"""Tokens that other hosts report to have used in the last window, by who granted them.

An owner counts those that another owner has granted beside its own grants, since two
hosts may own a runner one after the other, or both for a moment.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from primroseford.request_limits.bounds import WINDOW_SECONDS

if TYPE_CHECKING:
    from collections.abc import Mapping

    from primroseford.gateway.runners import RunnerKey
    from primroseford.ids import GranterId
    from primroseford.ids import HostId
    from primroseford.ids import Incarnation


class UseReport(NamedTuple):
    """Tokens of one runner that a host has used.

    :param counts: number of tokens by granter
    :param heard_at: local time of the report in seconds
    """

    counts: Mapping[GranterId, int]
    heard_at: float


class Process(NamedTuple):
    """One start of a host. Later ones do not know what it has used."""

    host: HostId
    incarnation: Incarnation


class PeerUses:
    """The last report of each process of the other hosts.

    :ivar by_runner: reports by runner instance and process
    :ivar runners: runners in the last report of each process
    """

    def __init__(self) -> None:
        self.by_runner: dict[RunnerKey, dict[Process, UseReport]] = {}
        self.runners: dict[Process, set[RunnerKey]] = {}

    def replace(
        self,
        process: Process,
        uses: Mapping[RunnerKey, Mapping[GranterId, int]],
        now: float,
    ) -> None:
        """Replace the report of a process.

        :param uses: used tokens by runner and granter
        :param now: local time in seconds
        """
        for runner in self.runners.pop(process, set()) - uses.keys():
            self._remove(runner, process)
        if uses:
            self.runners[process] = set(uses)
        for runner, counts in uses.items():
            self.by_runner.setdefault(runner, {})[process] = UseReport(counts, now)

    def count_others(
        self,
        runner: RunnerKey,
        granter: GranterId,
        now: float,
        seconds: float = WINDOW_SECONDS,
    ) -> int:
        """Return how many tokens were used that another granter has granted.

        The last report of a process that has ended counts until its tokens are out of
        the window.

        :param now: local time in seconds
        :param seconds: length of the window in which the reports have counted
        """
        return sum(
            count
            for report in self.by_runner.get(runner, {}).values()
            if now - report.heard_at < seconds
            for other, count in report.counts.items()
            if other != granter
        )

    def forget(self, now: float) -> None:
        """Drop the reports of processes that have not been heard for a window.

        :param now: local time in seconds
        """
        for runner, reports in list(self.by_runner.items()):
            for process, report in list(reports.items()):
                if now - report.heard_at >= WINDOW_SECONDS:
                    self._remove(runner, process)
                    self.runners.pop(process, None)

    def _remove(self, runner: RunnerKey, process: Process) -> None:
        reports = self.by_runner.get(runner, {})
        reports.pop(process, None)
        if not reports:
            self.by_runner.pop(runner, None)
