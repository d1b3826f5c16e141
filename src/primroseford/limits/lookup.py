"""Rate limits of organisations from the configuration tables in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.limits.bucket import Limit

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.configuration.tables import Organisation
    from primroseford.configuration.tables import Tables
    from primroseford.ids import OrganisationId
    from primroseford.limits.owner import LimitLookup


def create_limit_lookup(current: Callable[[], Tables]) -> LimitLookup:
    """Return a function that looks up the limits of an organisation.

    The function returns ``None`` for an unknown organisation.

    :param current: returns the tables in force
    """
    cache: dict[OrganisationId, tuple[Organisation, Limit]] = {}

    def limit_lookup(name: OrganisationId) -> Limit | None:
        record = current().organisations.get(name)
        if record is None:
            cache.pop(name, None)
            return None
        cached = cache.get(name)
        if cached is not None and cached[0] is record:
            return cached[1]
        limit = Limit(record.rate, record.burst, record.batch_rate, record.batch_burst)
        cache[name] = (record, limit)
        return limit

    return limit_lookup
