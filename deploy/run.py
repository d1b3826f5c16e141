"""Starts one of the programs that run on the users' platform."""

from __future__ import annotations

import gc
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))


def main() -> int:
    """Run the program that the argument names."""
    role = sys.argv[1] if len(sys.argv) == 2 else ""
    if role == "entry":
        # What is imported stays; the program turns collections on again.
        gc.disable()
        # aiohttp reads the list of certificate authorities as it is imported, at each
        # start. An entry host uses no TLS.
        os.environ.setdefault("SSL_CERT_FILE", os.devnull)
        os.environ.setdefault("SSL_CERT_DIR", os.devnull)
        from primroseford.gateway.main import main as run
    elif role == "disk":
        from primroseford.platform.disk_role import main as run
    else:
        print("usage: run.py entry|disk", file=sys.stderr)
        return 2
    return run()


if __name__ == "__main__":
    sys.exit(main())
