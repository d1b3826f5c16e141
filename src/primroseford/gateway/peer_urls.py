"""URLs of HTTP calls between hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.gateway.members import preferred_host
from primroseford.jobs.results_watch import WATCH_ROLE as RESULTS_DUTY

if TYPE_CHECKING:
    from primroseford.gateway.members import Members
    from primroseford.ids import HostId

CALLS_PORT_OFFSET = 1
"""Offset of the port for calls between hosts from the first port of the range, at which
heartbeats are received."""


def urls(members: Members, hosts: list[HostId]) -> list[str]:
    """Return the base URLs for calls to hosts."""
    return [base_url(members.peers[host].address) for host in hosts]


def base_url(address: str) -> str:
    """Return the base URL for calls to a host.

    :param address: address at which the host receives heartbeats
    """
    ip, port = address.rsplit(":", 1)
    return f"http://{ip}:{int(port) + CALLS_PORT_OFFSET}"


def relay_urls(members: Members, now: float) -> list[str]:
    """Return the base URLs of the hosts that can relay calls to the store."""
    return urls(members, members.reaching_store(now))


def results_watcher_url(
    members: Members, reaches_store: bool, now: float
) -> str | None:
    """Return the base URL of the host that watches results; None if it is this one.

    :param reaches_store: whether this host reaches the store itself
    :param now: local time in seconds
    """
    hosts = members.reaching_store(now)
    if reaches_store or not hosts:
        hosts.append(members.own)
    chosen = preferred_host(RESULTS_DUTY, hosts)
    return None if chosen == members.own else base_url(members.peers[chosen].address)
