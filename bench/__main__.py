"""``make bench``: runs the benchmarks and writes their reports.

``make bench ARGS="limits online"`` runs only the named benchmarks.
"""

from __future__ import annotations

import asyncio
import importlib
import sys
from pathlib import Path

from bench import report


def benchmark_names() -> list[str]:
    """Return the names of all benchmarks: the modules ``bench/bench_*.py``."""
    found = Path(__file__).parent.glob("bench_*.py")
    return sorted(path.stem.removeprefix("bench_") for path in found)


def main(arguments: list[str]) -> int:
    """Run benchmarks one after the other.

    :param arguments: names of benchmarks; all if empty
    :returns: exit status
    """
    for name in arguments or benchmark_names():
        module = importlib.import_module(f"bench.bench_{name}")
        result = asyncio.run(module.measure())
        print(report.write_report(result))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
