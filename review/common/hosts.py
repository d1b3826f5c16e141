"""Entry hosts, started with the command of the deploy file."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp
import yaml

if TYPE_CHECKING:
    from common.record import Record

ROOT = Path(__file__).resolve().parents[2]
CONTROL_PORT = 8407
FRONT_PORT = 8405
READY_PORT = 8406
FIRST_PEER_PORT = 7660
RESTART_SECONDS = 1.0
"""Delay until an ended process is started again."""
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "sync_s": 5,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "apply_ms": 2000,
    "rollback_slack_ms": 250,
    "recovery_s": 12,
    "finish_s": 18,
    "status_s": 120,
    "cancel_ms": 3000,
    "settle_ms": 1000,
}
"""Bounds of the sites in force."""


def own_ip(number: int) -> str:
    """Return the loopback address of a host of this run."""
    high, low = divmod(os.getpid() % 62_500, 250)
    return f"127.{high + 1}.{low + 1}.{number + 2}"


@dataclass(eq=False)
class EntryHost:
    """One entry host across its restarts.

    :param folder: folder of its settings and output
    :ivar ids: ids of the processes that were started
    """

    number: int
    store: str
    folder: Path
    record: Record
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    ids: list[int] = field(default_factory=list)
    ip: str = field(init=False)

    def __post_init__(self) -> None:
        self.ip = own_ip(self.number)

    @property
    def name(self) -> str:
        """Name of the machine."""
        return f"front-{self.number}"

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://{self.ip}:{FRONT_PORT}"

    async def start(self) -> None:
        """Start the process."""
        self.starts += 1
        settings = self.folder / f"{self.name}.yaml"
        settings.write_text(yaml.safe_dump(self._settings()), encoding="utf-8")
        output = self.folder / f"{self.name}-{self.starts}.log"
        with output.open("wb") as file:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "deploy/run.py",
                "entry",
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", os.defpath),
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "PRIMROSEFORD_NODE_FILE": str(settings),
                },
                stdout=file,
                stderr=file,
            )
        self.ids.append(self.process.pid)
        self.record.add("host started", host=self.name, process=self.process.pid)

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.running:
            self.process.send_signal(number)
            self.record.add(
                "signal",
                host=self.name,
                process=self.process.pid,
                signal=number.name,
            )

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Return whether the balancer's check gets a 200."""
        url = f"http://{self.ip}:{READY_PORT}/ready"
        try:
            async with session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def wait_ready(
        self, session: aiohttp.ClientSession, seconds: float = 15.0
    ) -> None:
        """Wait until the host is ready.

        :raises TimeoutError: if it is not in time
        """
        async with asyncio.timeout(seconds):
            while not await self.is_ready(session):
                if self.process is not None and self.process.returncode is not None:
                    raise RuntimeError(f"{self.name} has ended by itself")
                await asyncio.sleep(0.1)
        self.record.add("host ready", host=self.name)

    def _settings(self) -> dict:
        return {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front"],
            "ip": self.ip,
            "zone": "zone-a",
            "region": "region",
            "zones": {"zone-a": "region"},
            "listen": {
                "front": f"{self.ip}:{FRONT_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
            },
            "port_range": [FIRST_PEER_PORT, FIRST_PEER_PORT + 15],
            "seeds": [],
            "bootstrap": True,
            "in_fault_budget": False,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4200,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {
                "address": self.store,
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1_048_576,
                "ttl_min_ms": 1000,
            },
        }


def require_build() -> None:
    """End with status 2 if the build of the deploy file is missing."""
    if not (ROOT / "target" / "deps" / "aiohttp").is_dir():
        print("the build of the deploy file is missing", file=sys.stderr)
        raise SystemExit(2)
