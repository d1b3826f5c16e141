"""Rendezvous hashing: the same ranking of hosts on every host."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroseford.membership.state import HostInfo


def rank_hosts(key: str, hosts: Iterable[HostInfo]) -> list[HostInfo]:
    """Return hosts by falling rank for a key.

    A host that comes or goes moves only the keys that it ranks first for.

    :param key: what is to be placed
    :param hosts: the hosts to choose from
    """
    return sorted(hosts, key=lambda host: (-_weight(key, host), host.host_id))


def _weight(key: str, host: HostInfo) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{host.host_id}".encode())
