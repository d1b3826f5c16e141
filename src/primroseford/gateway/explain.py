"""Finds the log lines of all hosts that explain the end of a request or batch item."""

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
        "runner crashed while it began to answer requests",
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
CONTEXT_SECONDS = 5.0
"""Time before the first line of a request in which events of runners and hosts may have
affected it: the longest deadline of the workloads."""


@dataclass(frozen=True)
class LogLine:
    """One line of a host's log.

    :param at: Unix time in seconds
    :param host: prefix of the line that names the host, or else the name of the file
    """

    at: float
    host: str
    fields: dict[str, str]
    text: str

    @property
    def event(self) -> str:
        """Value of the line's event field, or an empty string."""
        return self.fields.get("event", "")


def parse_line(text: str, host: str) -> LogLine | None:
    """Parse a line of key=value pairs; return None for any other line.

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
    """Return the log lines about a request, an item or a job, with related events.

    Besides the lines that contain the id, these are events of the state of the same
    hosts, and events of any host about the runners that were used.

    :param lines: lines of all hosts
    :param identifier: id of a request, an item or a job
    """
    all_lines = list(lines)
    matching = [line for line in all_lines if identifier in line.fields.values()]
    if not matching:
        return []
    hosts = {line.host for line in matching}
    runners = set()
    for line in matching:
        if "runner" in line.fields:
            runners.add(line.fields["runner"])
        runners |= set(re.findall(r"[\w-]+", line.fields.get("runners", "")))
    first = min(line.at for line in matching) - CONTEXT_SECONDS
    last = max(line.at for line in matching)
    related = [
        line
        for line in all_lines
        if first <= line.at <= last
        and (
            (line.event in HOST_EVENTS and line.host in hosts)
            or (line.event in RUNNER_EVENTS and line.fields.get("runner") in runners)
        )
    ]
    return sorted({id(line): line for line in matching + related}.values(), key=_order)


def _order(line: LogLine) -> tuple[float, str]:
    return line.at, line.host
