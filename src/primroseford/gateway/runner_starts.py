"""Asks runners when they started, which tells a process from the one before it.

A runner can start again under its name and address as another software version, and
serve before its entry in the runner list says so. A host that has seen signs of that
asks the runner, and tells the other hosts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from yarl import URL

from primroseford.bounded_http import read_limited
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.exchange import EXCHANGE_ERRORS
from primroseford.gateway.exchange import RunnerRestarted
from primroseford.gateway.exchange import RunnerUnchecked
from primroseford.gateway.exchange import describe_error
from primroseford.gateway.gen.messages.ttypes import RestartedRunner
from primroseford.gateway.runners import RunnerRestart
from primroseford.ids import RunnerName
from primroseford.platform.runner_calls import REPORT_PATH
from primroseford.platform.runner_calls import REPORT_STATUS
from primroseford.platform.runner_calls import decode_start

if TYPE_CHECKING:
    from primroseford.gateway.gen.messages.ttypes import Heartbeat
    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.runners import RunnerList
    from primroseford.gateway.state import Gateway

MAX_REPORT_BYTES = 256 * 1024
"""Longest report: some hundred bytes, and some dozen for each request in progress."""
REPORT_SECONDS = 0.25
"""Timeout of a report, which takes some ms: the shortest pause between events that is
still in time on the workloads."""
MAX_REPORTED_RESTARTS = 40
"""Runners in one heartbeat, which must fit a datagram."""


async def check_start(gateway: Gateway, runner: RunnerState) -> bool:
    """Ask a runner whether it is still the instance that its entry describes.

    If it is not, this host and the others stop using what they know of it. A runner
    that answers without telling its start counts as the same instance.

    :returns: whether it is the same instance
    :raises Exception: one of ``EXCHANGE_ERRORS`` or ``TimeoutError`` if there is no
        complete response
    """
    entry = runner.entry
    url = URL(f"http://{entry.address}{REPORT_PATH}", encoded=True)
    timeout = aiohttp.ClientTimeout(total=REPORT_SECONDS)
    born = None
    async with gateway.session.get(
        url, timeout=timeout, allow_redirects=False
    ) as response:
        if response.status == REPORT_STATUS:
            born = decode_start(await read_limited(response, MAX_REPORT_BYTES))
    # An entry without a start says nothing about the instance.
    if born is None or not entry.key.born or born == entry.key.born:
        runner.may_have_restarted = False
        return True
    gateway.note_restart(RunnerRestart(entry.key.name, entry.key.born, born))
    return False


async def ensure_same_instance(
    gateway: Gateway, runner: RunnerState, continues: bool
) -> None:
    """Check the instance of a runner before a request that depends on its version.

    A request that begins a stream or a text needs the check only at a runner that may
    have started again, or that another host suspects, or if no other host would tell.

    :param continues: whether the request goes on with what a version has begun
    :raises PrimrosefordError: RUNNER_UNREACHABLE, RunnerUnchecked or RunnerRestarted,
        as not run
    """
    if not gateway.is_engine(runner.entry.pool):
        return
    may_have_restarted = runner.may_have_restarted and not gateway.cold.is_vouched(
        runner
    )
    is_doubtful = may_have_restarted or runner.suspected_by
    if not (continues or is_doubtful or gateway.members.is_cut_off(gateway.clock())):
        return
    if not gateway.request_limiter.take_check(runner, continues):
        raise RunnerUnchecked()
    try:
        is_same = await check_start(gateway, runner)
    except (*EXCHANGE_ERRORS, TimeoutError) as error:
        raise PrimrosefordError(
            ResultCode.RUNNER_UNREACHABLE, f"no report: {describe_error(error)}"
        ) from error
    if not is_same:
        raise RunnerRestarted()


def reported_restarts(runner_list: RunnerList, now: float) -> list[RestartedRunner]:
    """Return the runners for a heartbeat that have started again lately.

    :param now: local time in seconds
    """
    restarts = runner_list.restarts(now)[-MAX_REPORTED_RESTARTS:]
    return [RestartedRunner(*restart) for restart in restarts]


def received_restarts(heartbeat: Heartbeat) -> list[RunnerRestart]:
    """Return the runners of which another host reports that they started again."""
    return [
        RunnerRestart(RunnerName(report.runner), report.listed, report.born)
        for report in heartbeat.restarted_runners or ()
        if report.runner and report.listed and report.born
    ]
