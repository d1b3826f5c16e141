"""Ends streams and queued requests whose key is withdrawn."""

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

    AdmissionCheck = Callable[[Tables], bool]

Registration = NewType("Registration", int)

log = structlog.get_logger()


@dataclass(frozen=True)
class WatchedRequest:
    """One open stream or queued request.

    :param on_withdrawn: called once when the key or the permission is withdrawn
    :param still_allowed: further condition on the keys, organisations and routes, for
        example that the route still lists the organisation
    """

    identity: Identity
    on_withdrawn: Callable[[], None]
    still_allowed: AdmissionCheck | None


class KeyWatch:
    """Calls the callbacks of requests whose key was withdrawn.

    :param tables: tables in force
    """

    def __init__(self, tables: Tables) -> None:
        self.tables = tables
        self.watched_requests: dict[Registration, WatchedRequest] = {}
        self.by_key: dict[KeyId, set[Registration]] = {}
        self.last_registration = 0

    def register(
        self,
        identity: Identity,
        on_withdrawn: Callable[[], None],
        still_allowed: AdmissionCheck | None = None,
    ) -> Registration:
        """Watch the key of one stream or request.

        If the key is already withdrawn, the callback is called immediately.

        :param identity: identity of the sender
        :param on_withdrawn: ends the stream or request; called at most once
        :param still_allowed: further condition on the tables
        :returns: argument for ``deregister``
        """
        self.last_registration += 1
        registration = Registration(self.last_registration)
        request = WatchedRequest(identity, on_withdrawn, still_allowed)
        self.watched_requests[registration] = request
        self.by_key.setdefault(identity.key_id, set()).add(registration)
        self._check(registration, self.tables)
        return registration

    def deregister(self, registration: Registration) -> None:
        """Stop watching; no effect if the callback has already been called."""
        request = self.watched_requests.pop(registration, None)
        if request is None:
            return
        key_id = request.identity.key_id
        self.by_key[key_id].discard(registration)
        if not self.by_key[key_id]:
            del self.by_key[key_id]

    def on_tables_changed(self, tables: Tables) -> None:
        """Call the callbacks of requests whose key is no longer valid.

        :param tables: tables in force now
        """
        before, self.tables = self.tables, tables
        keys_unchanged = before.keys is tables.keys and (
            before.organisations is tables.organisations
        )
        if keys_unchanged and before.routes is tables.routes:
            # Edits of pools and jobs do not affect keys and permissions.
            return
        for registrations in list(self.by_key.values()):
            for registration in list(registrations):
                request = self.watched_requests.get(registration)
                if request and not (keys_unchanged and request.still_allowed is None):
                    self._check(registration, tables)

    def _check(self, registration: Registration, tables: Tables) -> None:
        request = self.watched_requests.get(registration)
        if request is None:
            return
        valid = still_valid(tables, request.identity)
        if valid and (request.still_allowed is None or request.still_allowed(tables)):
            return
        self.deregister(registration)
        try:
            request.on_withdrawn()
        except Exception as error:
            # A failing callback must not prevent the other callbacks.
            log.error("callback for a withdrawn key failed", error=repr(error))


def create_key_watch(store) -> KeyWatch:
    """Return a key watch that is notified by a configuration store.

    :param store: configuration in force
    """
    watch = KeyWatch(store.current())
    store.on_change(watch.on_tables_changed)
    return watch
