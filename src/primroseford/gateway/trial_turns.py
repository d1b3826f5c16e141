"""Turns of the hosts in which they may try a quarantined prompt part.

A host that has batch items with the part waits for the trial, so these hosts come
first. The turns go round, so that no trial depends on a single host.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.gateway.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence

    from primroseford.clock import Clock
    from primroseford.gateway.members import Members
    from primroseford.ids import HostId
    from primroseford.ids import PromptPartId
    from primroseford.quarantine.state import Quarantine

TURN_SECONDS = 2.0
"""Length of one host's turn, after which another host may try the part."""
TURN_END_SECONDS = 0.5
"""Time before another host's turn in which no trial begins. Until then the other hosts
have heard of a trial, even if their times of it differ a little."""
HOLD_SECONDS = 0.5
"""Time for which a host has had items with a part before its turns count, so that the
other hosts know of them."""
MAX_HELD_PARTS = 16
"""Quarantined parts of waiting items in a heartbeat, those that are tried first."""


def host_in_turn(
    key: str, holders: Sequence[HostId], hosts: Sequence[HostId], turn: int
) -> HostId:
    """Return the host that may try a part in a turn.

    :param key: names the trial
    :param holders: hosts that have items with the part
    :param hosts: all hosts, of which there is at least one. After a turn of each
        holder one of them has a turn, for a request that may come there.
    :param turn: number of the turn since the trial is due
    """
    if holders:
        round_number, place = divmod(turn, len(holders) + 1)
        if place < len(holders):
            return ranked(key, holders, str, place + 1)[place]
        turn = round_number
    place = turn % len(hosts)
    return ranked(key, hosts, str, place + 1)[place]


class TrialTurns:
    """Turns of this host to try quarantined parts.

    :ivar held_since: quarantined parts of this host's waiting items, each with the
        local time since which it has had any
    """

    def __init__(self, members: Members, quarantine: Quarantine, clock: Clock) -> None:
        self.members = members
        self.quarantine = quarantine
        self.clock = clock
        self.held_since: dict[PromptPartId, float] = {}

    def hold(self, parts: Collection[PromptPartId]) -> None:
        """Replace the quarantined parts of this host's waiting items."""
        if parts or self.held_since:
            now = self.clock()
            since = self.held_since
            self.held_since = {part: since.get(part, now) for part in parts}

    def reported(self) -> list[PromptPartId]:
        """Return the held parts that this host's heartbeats carry."""
        if not self.held_since:
            return []
        active = self.quarantine.active()
        records = self.quarantine.records
        parts = [part for part in self.held_since if part in active]
        parts.sort(key=lambda part: (records[part].trial_at, part))
        return parts[:MAX_HELD_PARTS]

    def is_own(self, part: PromptPartId) -> bool:
        """Return whether this host may try a part whose trial is due."""
        record = self.quarantine.records[part]
        now = self.clock()
        since_due = now - record.trial_at
        if since_due < 0:
            return False
        holders, hosts = self._holders(part, now), self.members.hosts(now)
        # Each trial has an order of its own, so that not the same host fails again.
        key = f"{part}\0{record.generation}"
        turns = {
            int(seconds // TURN_SECONDS)
            for seconds in (since_due, since_due + TURN_END_SECONDS)
        }
        own = self.members.own
        return all(host_in_turn(key, holders, hosts, turn) == own for turn in turns)

    def _holders(self, part: PromptPartId, now: float) -> list[HostId]:
        """Return the live hosts that have items with a part, this one included."""
        holders = [
            peer.host
            for peer in self.members.live(now)
            if part in peer.heartbeat.held_parts
        ]
        since = self.held_since.get(part)
        is_known = since is not None and now - since >= HOLD_SECONDS
        if is_known and part in self.reported():
            holders.append(self.members.own)
        return holders
