"""Processor time of the start of an entry host's process, imports included."""

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
"""Starts of each kind; the shortest one counts, since other work only adds time."""
PROGRAM = Path(__file__).resolve().parent.parent / "deploy" / "run.py"
NO_SETTINGS_EXIT = 2
"""Exit status of a program whose settings file is not named."""


def start_seconds(**variables: str) -> float:
    """Return the processor time of a start that ends as it looks for its settings.

    :param variables: variables of the environment
    """
    shortest = float("inf")
    for _ in range(RUNS):
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        done = subprocess.run(
            [sys.executable, str(PROGRAM), "entry"],
            env={"PATH": os.environ["PATH"], **variables},
            capture_output=True,
            check=False,
        )
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        if done.returncode != NO_SETTINGS_EXIT:
            raise RuntimeError(f"the program ended with {done.returncode}")
        user = after.ru_utime - before.ru_utime
        shortest = min(shortest, user + after.ru_stime - before.ru_stime)
    return shortest


async def measure() -> Report:
    """Measure and return the figures."""
    report = Report("start", COMMAND)
    paths = ssl.get_default_verify_paths()
    authorities = {
        "SSL_CERT_FILE": paths.openssl_cafile,
        "SSL_CERT_DIR": paths.openssl_capath,
    }
    report.plain("start of an entry host", start_seconds(), "s")
    report.plain(
        "start with the list of authorities", start_seconds(**authorities), "s"
    )
    return report
