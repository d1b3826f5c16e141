"""Start of a gateway host's process."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

PROGRAM = Path(__file__).resolve().parents[4] / "deploy" / "run.py"
START = """
import gc, runpy, ssl, sys
sys.argv = ["run.py", "entry"]
try:
    runpy.run_path({program!r}, run_name="__main__")
except SystemExit as end:
    print("exit", end.code)
print("collects", gc.isenabled())
print("authorities", ssl.create_default_context().cert_store_stats()["x509_ca"])
"""


def test_start_loads_no_certificates_and_keeps_garbage_collection_on():
    """Guards against slow starts when hundreds of hosts start at once.

    No settings file is given, so that the program exits after its imports.
    """
    done = subprocess.run(
        [sys.executable, "-c", START.format(program=str(PROGRAM))],
        env={"PATH": "", "PYTHONPATH": ":".join(sys.path)},
        capture_output=True,
        text=True,
        check=False,
    )
    lines = done.stdout.splitlines()[-3:]
    assert lines == ["exit 2", "collects True", "authorities 0"], done.stderr


SIGNALLED_START = """
import os, runpy, signal, sys, types
program = types.ModuleType({module!r})
program.main = lambda: os.kill(os.getpid(), signal.SIGHUP) or 0
sys.modules[{module!r}] = program
sys.argv = ["run.py", {role!r}]
runpy.run_path({program!r}, run_name="__main__")
"""


@pytest.mark.parametrize(
    ("role", "module"),
    [
        ("entry", "primroseford.gateway.main"),
        ("disk", "primroseford.platform.disk_role"),
    ],
)
def test_sighup_during_the_start_ends_a_program(role, module):
    """Guards against a host that ends since its settings change while it starts.

    Seen in the soak, seed 2902.
    """
    code = SIGNALLED_START.format(module=module, role=role, program=str(PROGRAM))
    done = subprocess.run(
        [sys.executable, "-c", code],
        env={"PATH": "", "PYTHONPATH": ":".join(sys.path)},
        check=False,
    )
    assert done.returncode == 0
