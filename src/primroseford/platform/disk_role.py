"""Process for the disk role on machines with disks.

The platform requires a process for this role. All durable data is in the platform's
store, so the process only waits for a stop signal.
"""

from __future__ import annotations

import signal


def main() -> int:
    """Wait for SIGTERM or SIGINT."""
    stops = {signal.SIGTERM, signal.SIGINT}
    signals = stops | {signal.SIGHUP}
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    print("event='disk role started'", flush=True)
    while signal.sigwait(signals) not in stops:
        continue
    print("event='disk role stopped'", flush=True)
    return 0
