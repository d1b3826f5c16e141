"""Rendezvous hashing, with the same ranking of hosts on every host."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroseford.membership.state import HostInfo


def rank_hosts(key: str, hosts: Iterable[HostInfo]) -> list[HostInfo]:
    """Return the hosts for a key, highest rank first.

    An added or removed host moves only the keys that it ranks first for.

    :param key: key to place
    :param hosts: the hosts to choose from
    """
    return sorted(hosts, key=lambda host: (-_weight(key, host), host.host_id))


def _weight(key: str, host: HostInfo) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{host.host_id}".encode())
