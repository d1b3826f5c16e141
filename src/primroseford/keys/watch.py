"""Notification of holders of streams and queued requests about withdrawn keys."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import NewType

import structlog

from primroseford.keys.secrets import still_valid

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.configuration.tables import Tables
    from primroseford.ids import KeyId
    from primroseford.keys.secrets import Identity

    Admission = Callable[[Tables], bool]

Registration = NewType("Registration", int)

log = structlog.get_logger()


@dataclass(frozen=True)
class Holder:
    """One open stream or queued request.

    :param on_withdrawn: called once when the key or the permission is gone
    :param admitted: further condition on the keys, organisations and routes, for
        example that the route still lists the organisation
    """

    identity: Identity
    on_withdrawn: Callable[[], None]
    admitted: Admission | None


class KeyWatch:
    """Calls the holders of work whose key was withdrawn.

    :param tables: tables in force
    """

    def __init__(self, tables: Tables) -> None:
        self.tables = tables
        self.watched_requests: dict[Registration, Holder] = {}
        self.by_key: dict[KeyId, set[Registration]] = {}
        self.last = 0

    def register(
        self,
        identity: Identity,
        on_withdrawn: Callable[[], None],
        admitted: Admission | None = None,
    ) -> Registration:
        """Watch a key for one stream or request.

        If the key is withdrawn already, the callback is called at once.

        :param identity: who sent the request
        :param on_withdrawn: ends the work; called at most once
        :param admitted: further condition on the tables
        :returns: what ``deregister`` needs
        """
        self.last += 1
        registration = Registration(self.last)
        holder = Holder(identity, on_withdrawn, admitted)
        self.watched_requests[registration] = holder
        self.by_key.setdefault(identity.key_id, set()).add(registration)
        self._check(registration, self.tables)
        return registration

    def deregister(self, registration: Registration) -> None:
        """Stop watching; has no effect if the holder was called already."""
        holder = self.watched_requests.pop(registration, None)
        if holder is None:
            return
        key_id = holder.identity.key_id
        self.by_key[key_id].discard(registration)
        if not self.by_key[key_id]:
            del self.by_key[key_id]

    def tables_changed(self, tables: Tables) -> None:
        """Call the holders whose key is no longer valid.

        :param tables: tables in force now
        """
        before, self.tables = self.tables, tables
        same = before.keys is tables.keys and (
            before.organisations is tables.organisations
        )
        if same and before.routes is tables.routes:
            # Edits of pools and jobs decide nothing about keys and permissions.
            return
        for registrations in list(self.by_key.values()):
            for registration in list(registrations):
                holder = self.watched_requests.get(registration)
                if holder and not (same and holder.admitted is None):
                    self._check(registration, tables)

    def _check(self, registration: Registration, tables: Tables) -> None:
        holder = self.watched_requests.get(registration)
        if holder is None:
            return
        valid = still_valid(tables, holder.identity)
        if valid and (holder.admitted is None or holder.admitted(tables)):
            return
        self.deregister(registration)
        try:
            holder.on_withdrawn()
        except Exception as error:
            # One failing holder must not keep the others' work running.
            log.error("holder of a withdrawn key failed", error=repr(error))


def create_key_watch(store) -> KeyWatch:
    """Return a watch that follows a configuration store.

    :param store: configuration in force
    """
    watch = KeyWatch(store.current())
    store.on_change(watch.tables_changed)
    return watch
