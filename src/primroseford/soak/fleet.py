"""The fleet of a soak: host processes, and the store and runners behind proxies."""

from __future__ import annotations

import asyncio
import signal
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from primroseford.jobs.store import CANCELLATIONS
from primroseford.proof.addresses import next_ports
from primroseford.proof.addresses import own_address
from primroseford.proof.site import HOST_PORTS
from primroseford.soak.plan import FaultKind
from primroseford.soak.plan import LinkFault
from primroseford.soak.plan import registration_delay
from primroseford.soak.plan import software_version
from primroseford.soak.processes import HostProcess
from primroseford.soak.proxy import Proxy
from primroseford.standins.fleet_objects import FIRST_START_MS
from primroseford.standins.fleet_objects import KEY
from primroseford.standins.fleet_objects import configuration
from primroseford.standins.fleet_objects import runner_entry
from primroseford.standins.fleet_runner import FleetRunner
from primroseford.standins.fleet_runner import create_runner_server
from primroseford.standins.hostile_runner import HostileRunner
from primroseford.standins.platform import create_platform_application
from primroseford.standins.platform import create_platform_stand_in
from primroseford.standins.serving import serve

if TYPE_CHECKING:
    from pathlib import Path

    from primroseford.soak.plan import PlannedFault
    from primroseford.standins.hostile_runner import ResponseFault
    from primroseford.standins.platform import PlatformStandIn
    from primroseford.standins.serving import Served

EVENTS = 16
EVENT_SECONDS = 0.06
"""Time between a runner's events. A run lasts about as long as the time without
heartbeats after which a host counts as lost, so that takeovers of jobs happen while
their items are in flight."""
STORE_FAULTS: dict[FaultKind, tuple[str, Any, Any]] = {
    FaultKind.STORE_DOWN: ("down", True, False),
    FaultKind.STORE_SLOW: ("delay_seconds", 0.4, 0.0),
    FaultKind.STORE_REFUSES: ("calls_per_second", 5.0, 0.0),
    FaultKind.STORE_LOSES_ANSWERS: ("lose_write_answers", 4, 0),
    FaultKind.STORE_LOSES_WRITES: ("lose_writes", 4, 0),
    FaultKind.STORE_ENDS_WATCHES: ("cut_watches", 6, 0),
    FaultKind.STORE_HOLDS_WATCHES: ("hold_watches", True, False),
    FaultKind.STORE_FORGETS_HISTORY: ("expire_watches", 6, 0),
}
"""Name of the field in the stand-in's faults, its value during and after the fault."""
RUNNER_FAULTS: dict[FaultKind, tuple[str, Any, Any]] = {
    FaultKind.RUNNER_REFUSES: ("refuse", True, False),
    FaultKind.RUNNER_CUTS_STREAMS: ("cut_after", 2, None),
    FaultKind.RUNNER_SILENT: ("silent", True, False),
    FaultKind.RUNNER_WRONG_ID: ("wrong_id", True, False),
    FaultKind.RUNNER_UNSIGNED: ("unsigned", True, False),
}
"""The same for the faults of a runner."""


@dataclass(eq=False)
class SoakRunner:
    """A runner behind a proxy.

    :ivar runs: all instances of the runner; a new one is added after each crash
    :ivar hostile: hostile runners that temporarily replaced this one
    :ivar address: listening address of the current instance
    :ivar seed: seed of the run, which decides the versions of the instances
    :ivar version: version of all instances; empty to let the seed decide
    """

    name: str
    proxy: Proxy
    server: asyncio.Server | None = None
    runs: list[FleetRunner] = field(default_factory=list)
    hostile: list[HostileRunner] = field(default_factory=list)
    hostile_server: asyncio.Server | None = None
    address: tuple[str, int] = ("", 0)
    seed: int = 0
    version: str = ""

    async def start(self) -> None:
        """Start a new instance of the runner."""
        start = len(self.runs)
        version = self.version or software_version(self.seed, self.name, start)
        born = FIRST_START_MS + len(self.runs) + 1
        runner = FleetRunner(
            self.name, EVENTS, EVENT_SECONDS, version=version, born=born
        )
        self.runs.append(runner)
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            create_runner_server(runner), "127.0.0.1", 0
        )
        self.address = self.proxy.target = self.server.sockets[0].getsockname()

    async def replace_with_hostile(self, response_fault: ResponseFault) -> None:
        """Route the proxy to a hostile runner instead of this one."""
        self.restore()
        runner = HostileRunner(self.name, response_fault)
        self.hostile.append(runner)
        self.hostile_server = await asyncio.start_server(runner.handle, "127.0.0.1", 0)
        self.proxy.target = self.hostile_server.sockets[0].getsockname()

    def restore(self) -> None:
        """Route the proxy to this runner again."""
        if self.hostile_server is not None:
            self.hostile_server.close()
            self.hostile_server = None
        self.proxy.target = self.address


@dataclass(eq=False)
class Versions:
    """The operator's changes to the configuration.

    :ivar routes: path prefixes of the added routes with the time of their addition
    :ivar keys: issued keys with the time of their withdrawal, if any
    """

    number: int = 1
    routes: dict[str, float] = field(default_factory=dict)
    keys: dict[str, float | None] = field(default_factory=dict)


@dataclass(eq=False)
class SoakFleet:
    """The hosts, runners, proxies and stand-ins of a run.

    :param seed: seed of the run
    :param limits: further entries of the ``limits`` in the hosts' settings
    """

    folder: Path
    platform: PlatformStandIn = field(default_factory=create_platform_stand_in)
    versions: Versions = field(default_factory=Versions)
    hosts: list[HostProcess] = field(default_factory=list)
    store_links: list[Proxy] = field(default_factory=list)
    runners: list[SoakRunner] = field(default_factory=list)
    served: Served | None = None
    stops: set[asyncio.Task] = field(default_factory=set)
    seed: int = 0
    limits: dict[str, int] = field(default_factory=dict)

    async def start(self, hosts: int, runners: int, version: str = "") -> None:
        """Start the stand-ins, the proxies and the hosts.

        :param version: software version of the runners; empty to let the seed decide
        """
        self.served = await serve(create_platform_application(self.platform))
        store = self.served.url.removeprefix("http://").split(":")
        for _ in range(3):
            self.versions.keys[f"key-{len(self.versions.keys)}"] = None
        self.write_configuration()
        for _ in range(runners):
            await self.add_runner(version)
        port = next_ports(HOST_PORTS)
        for number in range(hosts):
            link = Proxy((store[0], int(store[1])))
            await link.start()
            self.store_links.append(link)
            host = HostProcess(
                f"host-{number}",
                own_address(number),
                link.address,
                self.folder,
                next_ports(),
                next_ports(),
                port,
                self.limits,
            )
            self.hosts.append(host)
            await host.start()

    async def add_runner(self, version: str = "") -> None:
        """Start and register a runner.

        :param version: version of its software; empty to let the seed decide
        """
        proxy = Proxy(("", 0))
        name = f"runner-{len(self.runners)}"
        runner = SoakRunner(name, proxy, seed=self.seed, version=version)
        await runner.start()
        await proxy.start()
        self.runners.append(runner)
        self._register(runner)

    def write_configuration(self) -> None:
        """Write the configuration as an operator does."""
        versions = self.versions
        keys = [key for key, withdrawn in versions.keys.items() if withdrawn is None]
        content = configuration(versions.number, (KEY, *keys))
        ping = next(r for r in content["routes"] if r["path_prefix"] == "/ping/")
        content["routes"] += [
            ping | {"name": prefix.strip("/"), "path_prefix": prefix}
            for prefix in versions.routes
        ]
        self._put("config", "main", content)

    async def start_fault(self, fault: PlannedFault) -> None:
        """Inject a fault; return once it has taken effect."""
        kind = fault.kind
        if kind in STORE_FAULTS:
            name, value, _ = STORE_FAULTS[kind]
            setattr(self.platform.faults, name, value)
        elif kind in RUNNER_FAULTS:
            name, value, _ = RUNNER_FAULTS[kind]
            setattr(self.runners[fault.target].runs[-1].faults, name, value)
        elif kind is FaultKind.STORE_LINK:
            self.store_links[fault.target].set_fault(fault.link)
        elif kind in (FaultKind.RUNNER_LINK, FaultKind.RUNNER_CRASH):
            link = LinkFault.RESET if fault.link is LinkFault.NONE else fault.link
            self.runners[fault.target].proxy.set_fault(link)
            if kind is FaultKind.RUNNER_CRASH:
                self.runners[fault.target].server.close()
        elif kind is FaultKind.RUNNER_DRAINED:
            self._register(self.runners[fault.target], state="draining")
        elif kind is FaultKind.RUNNER_HOSTILE:
            await self.runners[fault.target].replace_with_hostile(fault.response_fault)
        elif kind in (FaultKind.CONFIGURATION, FaultKind.KEY_WITHDRAWN):
            self._change_configuration(kind)
        else:
            await self._apply_host_fault(kind, self.hosts[fault.target])

    async def end_fault(self, fault: PlannedFault) -> None:
        """End a fault; does nothing for faults without an end."""
        kind = fault.kind
        if kind in STORE_FAULTS:
            name, _, value = STORE_FAULTS[kind]
            setattr(self.platform.faults, name, value)
        elif kind in RUNNER_FAULTS:
            name, _, value = RUNNER_FAULTS[kind]
            setattr(self.runners[fault.target].runs[-1].faults, name, value)
        elif kind is FaultKind.STORE_LINK:
            self.store_links[fault.target].set_fault(LinkFault.NONE)
        elif kind is FaultKind.RUNNER_LINK:
            self.runners[fault.target].proxy.set_fault(LinkFault.NONE)
        elif kind is FaultKind.RUNNER_CRASH:
            runner = self.runners[fault.target]
            await runner.start()
            runner.proxy.set_fault(LinkFault.NONE)
            delay = registration_delay(self.seed, runner.name, len(runner.runs))
            await asyncio.sleep(delay)
            self._register(runner)
        elif kind is FaultKind.RUNNER_DRAINED:
            self._register(self.runners[fault.target])
        elif kind is FaultKind.RUNNER_HOSTILE:
            self.runners[fault.target].restore()
        elif kind is FaultKind.HOST_PAUSE:
            self.hosts[fault.target].resume()
        elif kind in (FaultKind.HOST_STOP, FaultKind.HOST_KILL):
            await self.hosts[fault.target].restart()

    async def clear_faults(self) -> None:
        """End all faults and restart stopped hosts."""
        for name, _, value in STORE_FAULTS.values():
            setattr(self.platform.faults, name, value)
        for link in self.store_links:
            link.set_fault(LinkFault.NONE)
        for runner in self.runners:
            runner.proxy.set_fault(LinkFault.NONE)
            runner.restore()
            for name, _, value in RUNNER_FAULTS.values():
                setattr(runner.runs[-1].faults, name, value)
        for host in self.hosts:
            host.resume()
            await host.restart()

    async def stop(self) -> None:
        """Stop the processes and the stand-ins."""
        for host in self.hosts:
            host.resume()
        await asyncio.gather(*(host.stop() for host in self.hosts))
        for proxy in [*self.store_links, *(r.proxy for r in self.runners)]:
            await proxy.stop()
        for runner in self.runners:
            runner.restore()
            runner.server.close()
        if self.served is not None:
            await self.served.stop()

    async def _apply_host_fault(self, kind: FaultKind, host: HostProcess) -> None:
        if kind is FaultKind.HOST_KILL:
            await host.kill()
        elif kind is FaultKind.HOST_RELOAD:
            host.send(signal.SIGHUP)
        elif kind is FaultKind.HOST_PAUSE:
            host.pause()
        elif kind is FaultKind.HOST_STOP:
            task = asyncio.create_task(host.stop())
            self.stops.add(task)
            task.add_done_callback(self.stops.discard)

    def _change_configuration(self, kind: FaultKind) -> None:
        versions = self.versions
        if self.platform.faults.down:
            return
        versions.number += 1
        if kind is FaultKind.CONFIGURATION:
            versions.routes[f"/added-{versions.number}/"] = time.monotonic()
        else:
            active = [key for key, withdrawn in versions.keys.items() if not withdrawn]
            versions.keys[active[0]] = time.monotonic()
            versions.keys[f"key-{len(versions.keys)}"] = None
        self.write_configuration()

    def is_cancelled(self, job: str) -> bool:
        """Return whether the store has a cancellation of a job."""
        return job in self.platform.state.objects.get(CANCELLATIONS, {})

    def _register(self, runner: SoakRunner, state: str = "ready") -> None:
        changes = {
            "state": state,
            "born": runner.runs[-1].born,
            "version": runner.runs[-1].version,
        }
        entry = runner_entry(runner.proxy.address, **changes)
        self._put("servers", runner.name, entry)

    def _put(self, kind: str, name: str, spec: Any) -> None:
        state = self.platform.state
        item = {"metadata": {"name": name}, "spec": spec}
        if name in state.objects.get(kind, {}):
            state.update(kind, item)
        else:
            state.create(kind, item)
        self.platform.announce()
