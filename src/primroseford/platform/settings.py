"""Settings file that the platform provides to each process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import yaml

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import FailureDomainId
from primroseford.ids import HostId

COMPETITION_CONTRACT = "pressure"
"""Contract of deployments whose callers compete for too few runners."""
DEFAULT_CANCEL_SECONDS = 3.0
"""Time in which a cancellation must take effect unless the settings state another."""
PATH_VARIABLE = "PRIMROSEFORD_NODE_FILE"
"""Environment variable that names the settings file."""


@dataclass(frozen=True)
class NodeSettings:
    """Settings of a process: its host, its addresses and the platform's limits.

    :param host: name of this host (``node_name``)
    :param failure_domain: failure domain of this host (``zone``)
    :param ip: address on which peers reach this host
    :param ingress: address for callers; none on hosts without callers
    :param readiness: address of the balancer's readiness check
    :param peer_port: first port for connections between hosts
    :param platform: base URL of the platform's object service
    :param stop_seconds: time from SIGTERM to SIGKILL (``grace_s``)
    :param job_retention_seconds: retention time of a job's results (``status_s``)
    :param settle_seconds: time after which results that one host has returned must be
        visible on all hosts (``settle_ms``)
    :param link_bytes: bandwidth of this host's link in bytes per second
        (``link_mbps``)
    :param cancel_seconds: time in which a cancellation of a job must take effect
        (``cancel_ms``)
    :param memory_mb: memory of the process in MB; a process that uses more is killed;
        none if it is not stated
    :param evacuation_seconds: time in which an evacuation of a failure domain must be
        in force (``evacuate_ms``); none if the deployment has no evacuations
    :param cold_excess: factor by which a cold runner tolerates more requests than its
        service states
    :param cold_slack: number of requests in a second that it tolerates beyond that
    :param callers_compete: whether callers often ask for more than runners can serve
        (``pressure`` among the ``contracts``)
    """

    host: HostId
    failure_domain: FailureDomainId
    ip: str
    ingress: str | None
    readiness: str | None
    peer_port: int
    platform: str
    stop_seconds: float
    job_retention_seconds: float
    settle_seconds: float
    link_bytes: float
    evacuation_seconds: float | None = None
    cold_excess: float = 1.0
    cold_slack: float = 0.0
    callers_compete: bool = False
    memory_mb: float | None = None
    cancel_seconds: float = DEFAULT_CANCEL_SECONDS


def load_node_settings(path: str) -> NodeSettings:
    """Load and validate the settings of a process.

    :param path: the settings file
    :raises PrimrosefordError: INVALID_VALUE or MISSING_FIELD with the field's path
    """
    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    try:
        with open(path, encoding="utf-8") as file:
            content = yaml.load(file, loader)
    except (OSError, yaml.YAMLError) as error:
        raise PrimrosefordError(
            ResultCode.INVALID_VALUE, f"the settings file is not readable: {error}"
        ) from error
    return decode_node_settings(content)


def decode_node_settings(content: Any) -> NodeSettings:
    """Decode the settings from a parsed file; unused fields are ignored.

    :param content: the decoded YAML document
    :raises PrimrosefordError: INVALID_VALUE or MISSING_FIELD with the field's path
    """
    listen = _read_field(content, "listen", dict)
    return NodeSettings(
        host=HostId(_read_field(content, "node_name", str)),
        failure_domain=FailureDomainId(_read_field(content, "zone", str)),
        ip=_read_field(content, "ip", str),
        ingress=listen.get("front"),
        readiness=listen.get("ready"),
        peer_port=_first_port(content),
        platform="http://" + _read_field(content, "platform.address", str),
        stop_seconds=_read_number(content, "bounds.grace_s"),
        job_retention_seconds=_read_number(content, "bounds.status_s"),
        settle_seconds=_read_number(content, "bounds.settle_ms") / 1000,
        link_bytes=_read_number(content, "limits.link_mbps") * 1e6 / 8,
        evacuation_seconds=_read_optional_ms(content, "bounds", "evacuate_ms"),
        cold_excess=_read_optional(content, "bounds", "cold_excess", 1.0),
        cold_slack=_read_optional(content, "bounds", "cold_slack", 0.0),
        callers_compete=COMPETITION_CONTRACT in (content.get("contracts") or ()),
        memory_mb=_read_optional(content, "limits", "memory_mb"),
        cancel_seconds=_read_optional_ms(content, "bounds", "cancel_ms")
        or DEFAULT_CANCEL_SECONDS,
    )


def _first_port(content: Any) -> int:
    ports = _read_field(content, "port_range", list)
    if not ports or not isinstance(ports[0], int):
        raise PrimrosefordError(
            ResultCode.INVALID_VALUE,
            "the first port is missing or not an integer",
            field="port_range.0",
        )
    return ports[0]


def _read_optional_ms(content: Any, section: str, name: str) -> float | None:
    """Return a setting in seconds; ``None`` if it is absent."""
    value = _read_optional(content, section, name)
    return None if value is None else value / 1000


def _read_optional(
    content: Any, section: str, name: str, default: float | None = None
) -> float | None:
    """Return a setting, or its default if it is absent."""
    if name not in _read_field(content, section, dict):
        return default
    return _read_number(content, f"{section}.{name}")


def _read_number(content: Any, path: str) -> float:
    return float(_read_field(content, path, (int, float)))


def _read_field(content: Any, path: str, kind: type | tuple[type, ...]) -> Any:
    value = content
    for name in path.split("."):
        if not isinstance(value, dict) or name not in value:
            raise PrimrosefordError(
                ResultCode.MISSING_FIELD, "a required setting is missing", field=path
            )
        value = value[name]
    if not isinstance(value, kind) or isinstance(value, bool):
        raise PrimrosefordError(
            ResultCode.INVALID_VALUE, "a setting has the wrong type", field=path
        )
    return value
