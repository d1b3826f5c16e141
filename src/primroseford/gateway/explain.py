"""Finds in the hosts' logs why a request or a batch item ended as it did."""

from __future__ import annotations

import re
from dataclasses import dataclass
from datetime import datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

FIELD = re.compile(r"(\w+)=('(?:[^'\\]|\\.)*'|\"(?:[^\"\\]|\\.)*\"|\[[^\]]*\]|\S+)")
RUNNER_EVENTS = frozenset(
    {
        "runner counts as failed",
        "probe answered",
        "probe failed",
        "runner entry",
        "runner has left its address",
        "runners did not return",
    }
)
HOST_EVENTS = frozenset(
    {
        "configuration in force",
        "platform reachable",
        "platform not reachable",
        "store does not answer this host",
        "store answers this host again",
        "store is called through a peer",
        "host started",
        "host stops",
        "host drained",
        "items paused",
        "log lines left out",
    }
)
BEFORE_SECONDS = 5.0
"""How long before the first line of a request a belief may have led to it: the longest
deadline of the workloads of letter 1."""


@dataclass(frozen=True)
class LogLine:
    """One line of a host's log.

    :param at: Unix time in seconds
    :param host: name of the file, or what stands before the line's first field
    """

    at: float
    host: str
    fields: dict[str, str]
    text: str

    @property
    def event(self) -> str:
        """What happened."""
        return self.fields.get("event", "")


def parse_line(text: str, host: str) -> LogLine | None:
    """Return a line of key=value pairs; nothing if it is none.

    :param text: the line, with or without a prefix that names the host
    :param host: host to use if the line has no prefix
    """
    fields = {name: _unquote(value) for name, value in FIELD.findall(text)}
    stamp = fields.get("timestamp")
    if stamp is None or "event" not in fields:
        return None
    try:
        at = datetime.fromisoformat(stamp).timestamp()
    except ValueError:
        return None
    prefix = text[: text.index("timestamp=")].split()
    return LogLine(at, prefix[-1] if prefix else host, fields, text.rstrip())


def _unquote(value: str) -> str:
    return value[1:-1] if value[0] in "'\"" else value


def explain(lines: Iterable[LogLine], identifier: str) -> list[LogLine]:
    """Return the lines about a request, an item or a job, and what led to them.

    Beside the lines that name it these are the lines of the same hosts about their
    beliefs, and those of any host about the runners that it reached.

    :param lines: lines of all hosts
    :param identifier: id of a request, an item or a job
    """
    known = list(lines)
    naming = [line for line in known if identifier in line.fields.values()]
    if not naming:
        return []
    hosts = {line.host for line in naming}
    runners = set()
    for line in naming:
        if "runner" in line.fields:
            runners.add(line.fields["runner"])
        runners |= set(re.findall(r"[\w-]+", line.fields.get("runners", "")))
    first = min(line.at for line in naming) - BEFORE_SECONDS
    last = max(line.at for line in naming)
    around = [
        line
        for line in known
        if first <= line.at <= last
        and (
            (line.event in HOST_EVENTS and line.host in hosts)
            or (line.event in RUNNER_EVENTS and line.fields.get("runner") in runners)
        )
    ]
    return sorted({id(line): line for line in naming + around}.values(), key=_order)


def _order(line: LogLine) -> tuple[float, str]:
    return line.at, line.host
