"""Results that finish during an outage of the platform's store."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
ROOT = FOLDER.parents[1]
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT / "src"), str(FOLDER.parent)]

from common.deployment import Deployment  # noqa: E402
from common.deployment import create_job  # noqa: E402
from common.deployment import run_case  # noqa: E402
from common.deployment import wait_for_finish  # noqa: E402
from common.deployment import wants_disruption  # noqa: E402
from common.hosts import require_build  # noqa: E402
from common.record import Record  # noqa: E402
from common.runner import Workload  # noqa: E402

HOSTS = 3
RUNNERS = 9
ITEMS = 200
"""Items of a batch job at most, by the pages."""
MEAN_EVENTS = 231
EVENTS_SPREAD = 0.25
MAX_EVENTS = 370
PIECE_CHARACTERS = 20
"""Length of an event's data: 60 bytes in UTF-8."""
JOB_START_SECONDS = 3.5
"""Time from the acceptance of the job until the outage begins."""
OUTAGE_SECONDS = 4.5
CALM_SECONDS = 5.0
JOB = "7c41e09b52d6a3f8"
PHRASE = "右前ドアの雹害はデントリペアで修復可能です。見積もりは工賃込みで八万円です。"


def piece(request: str, number: int) -> str:
    """Return the data of one event: Japanese text."""
    first = (number * 7) % len(PHRASE)
    return (PHRASE * 2)[first : first + PIECE_CHARACTERS]


async def case(deployment: Deployment, trouble: bool) -> bool:
    """Submit one large job; refuse all calls to the store while its items finish."""
    workload = deployment.workload
    drawn = random.Random(int(time.time()))
    for number in range(ITEMS):
        factor = drawn.lognormvariate(-(EVENTS_SPREAD**2) / 2, EVENTS_SPREAD)
        events = min(MAX_EVENTS, max(20, round(MEAN_EVENTS * factor)))
        workload.events[f"e5b2907c14da{number:04x}"] = events
    await deployment.start(HOSTS, RUNNERS)
    job = create_job(JOB, dict(workload.events))
    await deployment.submit(job)
    deployment.in_background(deployment.follow(job))
    since = time.monotonic()
    if trouble:
        await asyncio.sleep(JOB_START_SECONDS)
        deployment.store.down = True
        deployment.record.add("store down", answer=503)
        await asyncio.sleep(OUTAGE_SECONDS)
        deployment.store.down = False
        since = time.monotonic()
        deployment.record.add("store up")
    lost = await wait_for_finish(deployment, [job], since, CALM_SECONDS)
    finished = {item for runner in deployment.runners for item in runner.finished}
    deployment.record.add(
        "items", finished_at_runners=len(finished), not_listed=len(lost)
    )
    wrong = [r["id"] for r in job.results if r["text"] != workload.text(r["id"])]
    deployment.record.add("texts", wrong=len(wrong))
    return not lost and not wrong


def main() -> int:
    """Run the case and return its exit code."""
    require_build()
    record = Record(FOLDER / "record.txt")
    try:
        return asyncio.run(
            run_case(record, Workload(piece=piece), case, wants_disruption())
        )
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(main())
