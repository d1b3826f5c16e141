"""Processor time of the startup of an entry host's process, including imports."""

from __future__ import annotations

import os
import resource
import ssl
import subprocess
import sys
from pathlib import Path

from bench.report import Report

COMMAND = 'make bench ARGS="start"'
RUNS = 9
"""Number of starts. The shortest one is reported: other processes only add time."""
PROGRAM = Path(__file__).resolve().parent.parent / "deploy" / "run.py"
NO_SETTINGS_EXIT = 2
"""Exit status when no settings file is given."""


def start_seconds(**environment: str) -> float:
    """Return the processor time of a startup up to the failed search for settings.

    :param environment: additional environment variables
    :returns: seconds, the minimum over all runs
    :raises RuntimeError: if the program exits with another status than expected
    """
    shortest_seconds = float("inf")
    for _ in range(RUNS):
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        done = subprocess.run(
            [sys.executable, str(PROGRAM), "entry"],
            env={"PATH": os.environ["PATH"], **environment},
            capture_output=True,
            check=False,
        )
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        if done.returncode != NO_SETTINGS_EXIT:
            raise RuntimeError(f"the program exited with status {done.returncode}")
        user = after.ru_utime - before.ru_utime
        shortest_seconds = min(
            shortest_seconds, user + after.ru_stime - before.ru_stime
        )
    return shortest_seconds


async def measure() -> Report:
    """Measure and return the figures."""
    report = Report("start", COMMAND)
    paths = ssl.get_default_verify_paths()
    authorities = {
        "SSL_CERT_FILE": paths.openssl_cafile,
        "SSL_CERT_DIR": paths.openssl_capath,
    }
    report.add_figure("start of an entry host", start_seconds(), "s")
    report.add_figure(
        "start with the list of authorities", start_seconds(**authorities), "s"
    )
    return report
