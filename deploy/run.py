"""Starts one of the programs deployed on the users' platform."""

from __future__ import annotations

import gc
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))


def main() -> int:
    """Run the program named by the command-line argument."""
    # Until the program installs its handler, SIGHUP would end the process. The settings
    # are read later than this, so a change is not missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    program = sys.argv[1] if len(sys.argv) == 2 else ""
    if program == "entry":
        # Imported objects live as long as the process, so collections during the
        # import would only cost time; the program enables them again.
        gc.disable()
        # aiohttp loads the certificate authorities when it is imported, which slows
        # each start. An entry host uses no TLS, so it loads none.
        os.environ.setdefault("SSL_CERT_FILE", os.devnull)
        os.environ.setdefault("SSL_CERT_DIR", os.devnull)
        from primroseford.gateway.main import main as run
    elif program == "disk":
        from primroseford.platform.disk_role import main as run
    else:
        print("usage: run.py entry|disk", file=sys.stderr)
        return 2
    return run()


if __name__ == "__main__":
    sys.exit(main())
