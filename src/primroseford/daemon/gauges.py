"""Gauges computed from a host's state when metrics are collected."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client.core import GaugeMetricFamily

from primroseford.metrics import PREFIX

if TYPE_CHECKING:
    from collections.abc import Iterator

    from primroseford.daemon.host import Host


class HostGauges:
    """A Prometheus collector of one host's state.

    :param host: a started host
    """

    def __init__(self, host: Host) -> None:
        self.host = host

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield the gauges with their current values."""
        host, components = self.host, self.host.components
        store = components.configuration.store
        age = store.freshness(host.clock())
        owned_groups = sum(
            components.limiter.owns(g) for g in range(len(components.limiter.groups))
        )
        gauges = (
            ("ready", "Whether the host admits requests.", host.ready()),
            (
                "configuration_version",
                "Version of the tables in force.",
                store.current().version,
            ),
            (
                "configuration_age_seconds",
                "Age of the last confirmation by the platform; -1 if never.",
                -1 if age is None else age,
            ),
            (
                "configuration_rejected",
                "Objects that cannot be put in force.",
                len(store.rejected),
            ),
            ("hosts", "Hosts in the membership.", len(components.membership.hosts())),
            (
                "limit_groups_owned",
                "Groups whose buckets this host owns.",
                owned_groups,
            ),
            (
                "batch_feeders",
                "Runners whose batch feeder runs on this host.",
                len(components.batch.feeders),
            ),
            (
                "requests_in_flight",
                "Online requests in progress.",
                len(components.online.open_requests.entries),
            ),
        )
        for name, help_text, value in gauges:
            yield GaugeMetricFamily(PREFIX + name, help_text, float(value))
