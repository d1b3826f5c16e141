"""Program on the machines with disks.

The platform asks for a role there. Everything that must last is in the platform's
store, so the program only waits for the signal to stop.
"""

from __future__ import annotations

import signal


def main() -> int:
    """Wait for SIGTERM."""
    stops = {signal.SIGTERM, signal.SIGINT}
    signals = stops | {signal.SIGHUP}
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    print("event='disk role started'", flush=True)
    while signal.sigwait(signals) not in stops:
        continue
    print("event='disk role stopped'", flush=True)
    return 0
