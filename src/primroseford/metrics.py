"""Creation of Prometheus metrics with the project's prefix."""

from __future__ import annotations

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram

PREFIX = "primroseford_"


class Metrics:
    """Creates each metric once and returns the same object for the same name.

    :param registry: registry of the metrics; one for each host, since tests and the
        demo run several hosts in one process
    """

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        self.registry = registry or CollectorRegistry()
        self.by_name: dict[str, Counter | Gauge | Histogram] = {}

    def counter(
        self, name: str, help_text: str, labels: tuple[str, ...] = ()
    ) -> Counter:
        """Return the counter with this name.

        :param name: name without the prefix
        :param help_text: help text
        :param labels: label names
        """
        return self._get(Counter, name, help_text, labels)

    def gauge(self, name: str, help_text: str, labels: tuple[str, ...] = ()) -> Gauge:
        """Return the gauge with this name.

        :param name: name without the prefix
        :param help_text: help text
        :param labels: label names
        """
        return self._get(Gauge, name, help_text, labels)

    def histogram(
        self, name: str, help_text: str, labels: tuple[str, ...] = ()
    ) -> Histogram:
        """Return the histogram with this name.

        :param name: name without the prefix
        :param help_text: help text
        :param labels: label names
        """
        return self._get(Histogram, name, help_text, labels)

    def _get(
        self, metric_type: type, name: str, help_text: str, labels: tuple[str, ...]
    ):
        if name not in self.by_name:
            self.by_name[name] = metric_type(
                PREFIX + name, help_text, labels, registry=self.registry
            )
        return self.by_name[name]
