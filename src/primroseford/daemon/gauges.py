"""Gauges that are read from a host's state when metrics are collected."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client.core import GaugeMetricFamily

from primroseford.metrics import PREFIX

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroseford.daemon.host import Host


class HostGauges:
    """A Prometheus collector over the state of one host.

    :param host: a started host
    """

    def __init__(self, host: Host) -> None:
        self.host = host

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield the gauges with their values of this moment."""
        host, components = self.host, self.host.components
        store = components.configuration.store
        age = store.freshness(host.clock())
        groups = sum(
            components.limiter.owns(g) for g in range(len(components.limiter.groups))
        )
        values = (
            ("ready", "Whether the host admits requests.", host.ready()),
            (
                "configuration_version",
                "Version of the tables in force.",
                store.current().version,
            ),
            (
                "configuration_age_seconds",
                "Age of the last confirmation with the platform; -1 if never.",
                -1 if age is None else age,
            ),
            (
                "configuration_rejected",
                "Objects that cannot be put in force.",
                len(store.rejected),
            ),
            ("hosts", "Hosts in the membership.", len(components.membership.hosts())),
            ("limit_groups_owned", "Groups whose buckets this host owns.", groups),
            (
                "batch_feeders",
                "Runners that this host feeds.",
                len(components.batch.feeders),
            ),
            (
                "requests_in_flight",
                "Online requests in progress.",
                len(components.online.open_requests.entries),
            ),
        )
        for name, text, value in values:
            yield GaugeMetricFamily(PREFIX + name, text, float(value))
