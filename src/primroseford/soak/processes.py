"""Entry hosts as separate processes."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

import yaml

from primroseford.platform.settings import PATH_VARIABLE

PROGRAM = Path(__file__).parents[3] / "deploy" / "run.py"
STOP_SECONDS = 8.0
"""Time from SIGTERM to SIGKILL (``grace_s`` of the sites)."""
RETENTION_SECONDS = 120.0
"""Time for which results stay readable (``status_s`` of the sites)."""
LINK_MBPS = 1000
"""Bandwidth of a host's link, as on the smaller sites."""
SETTLE_MS = 1000
"""Time after which results read at one host are readable at all (``settle_ms``)."""


@dataclass(eq=False)
class HostProcess:
    """One entry host, across its restarts.

    :param ip: IP address of the host in 127.0.0.0/8
    :param store: address of the store for this host
    :param folder: folder of the host's settings and logs
    :param limits: further entries of the settings' ``limits``
    :ivar starts: number of starts
    :ivar stop_requested: whether the end of the current process was requested
    :ivar unexpected_exits: descriptions of exits that were not requested
    """

    name: str
    ip: str
    store: str
    folder: Path
    ingress_port: int
    readiness_port: int
    peer_port: int
    limits: dict[str, int] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    stop_requested: bool = False
    unexpected_exits: list[str] = field(default_factory=list)
    watch: asyncio.Task | None = None
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def ingress(self) -> str:
        """Base URL for callers."""
        return f"http://{self.ip}:{self.ingress_port}"

    @property
    def readiness(self) -> str:
        """URL of the load balancer's readiness check."""
        return f"http://{self.ip}:{self.readiness_port}/ready"

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Start the process; each start has separate files for its output."""
        self.starts += 1
        self.stop_requested = False
        settings = self.folder / f"{self.name}.yaml"
        settings.write_text(yaml.safe_dump(self._settings()))
        with (
            (self.folder / f"{self.name}-{self.starts}.out").open("wb") as out,
            (self.folder / f"{self.name}-{self.starts}.err").open("wb") as err,
        ):
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(PROGRAM),
                "entry",
                env=os.environ | {PATH_VARIABLE: str(settings)},
                stdout=out,
                stderr=err,
            )
        self.watch = asyncio.create_task(self._watch(self.process))

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if not self.stop_requested:
            self.unexpected_exits.append(
                f"start {self.starts} ended by itself with {code}"
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.running:
            self.process.send_signal(number)

    def pause(self) -> None:
        """Suspend the process, as if its machine had frozen."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process."""
        self.send(signal.SIGCONT)

    async def restart(self) -> None:
        """Start the process if it has ended or its end was requested."""
        async with self.lock:
            if self.stop_requested:
                await self.process.wait()
            if not self.running:
                await self.start()

    async def stop(self) -> None:
        """Stop as the platform does: SIGTERM, then SIGKILL after ``STOP_SECONDS``."""
        if not self.running:
            return
        self.stop_requested = True
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_SECONDS):
                await self.process.wait()
        except TimeoutError:
            await self.kill()

    async def kill(self) -> None:
        """Kill the process, as in a crash."""
        if self.running:
            self.stop_requested = True
            self.send(signal.SIGKILL)
            await self.process.wait()

    def _settings(self) -> dict:
        return {
            "node_name": self.name,
            "zone": "a",
            "ip": self.ip,
            "listen": {
                "front": f"{self.ip}:{self.ingress_port}",
                "ready": f"{self.ip}:{self.readiness_port}",
            },
            "port_range": [self.peer_port, self.peer_port + 2],
            "platform": {"address": self.store},
            "limits": {"link_mbps": LINK_MBPS} | self.limits,
            "bounds": {
                "grace_s": STOP_SECONDS,
                "status_s": RETENTION_SECONDS,
                "settle_ms": SETTLE_MS,
            },
        }
