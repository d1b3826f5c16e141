"""Addresses of calls between hosts, over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.gateway.members import preferred_host
from primroseford.jobs.results_watch import WATCH_ROLE as RESULTS_DUTY

if TYPE_CHECKING:
    from primroseford.gateway.members import Members
    from primroseford.ids import HostId

CALLS_PORT_OFFSET = 1
"""Port of calls between hosts, counted from the first port of their range, which takes
the heartbeats."""


def urls(members: Members, hosts: list[HostId]) -> list[str]:
    """Return the base URLs for calls to hosts."""
    return [base_url(members.peers[host].address) for host in hosts]


def base_url(address: str) -> str:
    """Return the base URL for calls to a host.

    :param address: where it takes heartbeats
    """
    ip, port = address.rsplit(":", 1)
    return f"http://{ip}:{int(port) + CALLS_PORT_OFFSET}"


def relay_urls(members: Members, now: float) -> list[str]:
    """Return the base URLs of the hosts that can call the store for this one."""
    return urls(members, members.reaching_store(now))


def follower_url(members: Members, reaches_store: bool, now: float) -> str | None:
    """Return the base URL of the host that follows results; nothing if it is this one.

    :param reaches_store: whether this host reaches the store itself
    :param now: local time in seconds
    """
    hosts = members.reaching_store(now)
    if reaches_store or not hosts:
        hosts.append(members.own)
    chosen = preferred_host(RESULTS_DUTY, hosts)
    return None if chosen == members.own else base_url(members.peers[chosen].address)
