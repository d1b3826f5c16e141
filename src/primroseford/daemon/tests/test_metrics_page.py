from __future__ import annotations

import re
from pathlib import Path

from primroseford.daemon.host import running_host
from primroseford.daemon.settings import check_settings
from primroseford.daemon.tests.test_host import host_document

PAGE = Path(__file__).parents[4] / "docs" / "operators" / "metrics.md"


async def test_every_metric_is_documented(tmp_path, platform):
    """Guards against a metric that is missing from the operators' page."""
    documented = set(re.findall(r"`([a-z_]+)`", PAGE.read_text()))
    async with running_host(
        check_settings(host_document(tmp_path, platform.url))
    ) as host:
        names = {
            family.name.removeprefix("primroseford_")
            for family in host.metrics.registry.collect()
        }
    missing = {n for n in names if not {n, f"{n}_total"} & documented}
    assert names and not missing
