"""``status``: show hosts, tables and configuration versions in force."""

from __future__ import annotations

from primroseford.cli.base import BaseCommand
from primroseford.cli.base import CommandResult
from primroseford.cli.base import common_options
from primroseford.cli.fleet import read_versions
from primroseford.configuration.apply import read_platform


class StatusCommand(BaseCommand):
    """Shows the state of the fleet."""

    name = "status"
    description = "Show hosts, pools, organisations and versions in force"
    options = common_options()

    async def handle_async(self) -> CommandResult:
        """Read the tables on the platform and the versions in force on the hosts."""
        async with self.platform() as client:
            current = await read_platform(client)
        versions = await read_versions(self.required_option("host"))
        lines, hosts = [], {}
        for host, entry in sorted(versions.items()):
            hosts[host] = {"version": entry.version, "age": entry.age} if entry else {}
            state = f"version {entry.version}" if entry else "not confirmed"
            if entry and entry.age is not None:
                state += f", {entry.age:.1f} s old"
            lines.append(f"host {host}: {state}")
        pools, organisations = {}, []
        for (kind, name), item in sorted(current.items()):
            if kind == "pools":
                states = [r.get("state", "ready") for r in item.spec.get("runners", [])]
                pools[name] = {s: states.count(s) for s in ("ready", "leaving")}
                lines.append(
                    f"pool {name}: {pools[name]['ready']} ready, "
                    f"{pools[name]['leaving']} leaving"
                )
            elif kind == "organisations":
                organisations.append({"name": name} | item.spec)
                rate, burst = item.spec.get("rate"), item.spec.get("burst")
                lines.append(f"organisation {name}: rate {rate}/s, burst {burst}")
        body = {"hosts": hosts, "pools": pools, "organisations": organisations}
        return CommandResult(body, lines)
