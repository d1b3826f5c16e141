"""Fields of the platform's configuration with their types and allowed ranges."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from typing import Any

from primroseford.gateway.tables import RouteKind

MAX_NUMBER = 2**53 - 1
"""Largest number that every reader of JSON represents exactly."""
MAX_SHOWN_LENGTH = 40
"""Maximum length of a value in a message, in characters."""


class FieldType(Enum):
    """Type of a field; the values are used in messages."""

    TEXT = "a text that is not empty"
    NUMBER = "a number"
    COUNT = "a whole number"
    FLAG = "true or false"


@dataclass(frozen=True)
class Field:
    """A field that holds a single value.

    :param lowest: smallest allowed number
    :param nullable: whether the decoder treats null as an absent field
    :param choices: the allowed texts; empty if any text is allowed
    """

    name: str
    type: FieldType
    required: bool = False
    lowest: int = 0
    nullable: bool = True
    choices: tuple[str, ...] = ()

    @property
    def allowed(self) -> str:
        """Description of the allowed values."""
        if self.choices:
            return "one of " + ", ".join(self.choices)
        if self.type in (FieldType.NUMBER, FieldType.COUNT):
            return f"{self.type.value} from {self.lowest} to {MAX_NUMBER}"
        return self.type.value

    def accepts(self, value: Any) -> bool:
        """Return whether a value is allowed."""
        if value is None:
            return self.nullable and not self.required
        if self.type is FieldType.TEXT:
            text = isinstance(value, str) and value != ""
            return text and (not self.choices or value in self.choices)
        if self.type is FieldType.FLAG or isinstance(value, bool):
            return self.type is FieldType.FLAG and isinstance(value, bool)
        if not isinstance(value, int | float):
            return False
        whole = isinstance(value, int) or value.is_integer()
        if self.type is FieldType.COUNT and not whole:
            return False
        return self.lowest <= value <= MAX_NUMBER


TOP_FIELDS = (Field("version", FieldType.COUNT, required=True),)
ROUTE_FIELDS = (
    Field("name", FieldType.TEXT, required=True),
    Field("host", FieldType.TEXT, required=True),
    Field("path_prefix", FieldType.TEXT, required=True),
    Field(
        "kind",
        FieldType.TEXT,
        required=True,
        choices=tuple(kind.value for kind in RouteKind),
    ),
    Field("timeout_ms", FieldType.NUMBER, lowest=1, nullable=False),
    Field("slo_ms", FieldType.NUMBER, nullable=False),
    Field("priority", FieldType.COUNT),
    Field("max_attempts", FieldType.COUNT),
    Field("public", FieldType.FLAG),
    Field("resumable", FieldType.FLAG),
    Field("due_ms", FieldType.NUMBER),
    Field("max_wait_s", FieldType.NUMBER),
    Field("max_count", FieldType.COUNT),
)
ROUTE_SERVICE_FIELD = Field("service", FieldType.TEXT, required=True)
BACKEND_FIELDS = (
    ROUTE_SERVICE_FIELD,
    Field("weight", FieldType.NUMBER, required=True),
)
SERVICE_FIELDS = (
    Field("name", FieldType.TEXT, required=True),
    Field("health_path", FieldType.TEXT, nullable=False),
    Field("cold_start_s", FieldType.NUMBER),
    Field("cold_per_s", FieldType.NUMBER),
)
TENANT_FIELDS = (
    Field("name", FieldType.TEXT, required=True),
    Field("rate_per_s", FieldType.NUMBER),
    Field("burst", FieldType.NUMBER),
    Field("priority", FieldType.COUNT),
)
KEY_FIELD = Field("api_keys", FieldType.TEXT, required=True)
LIMIT_FIELDS = (
    Field("max_header_bytes", FieldType.COUNT, lowest=1),
    Field("max_body_bytes", FieldType.COUNT, lowest=1),
    Field("header_timeout_ms", FieldType.NUMBER),
    Field("idle_timeout_ms", FieldType.NUMBER),
)

FIELD_BY_ATTRIBUTE = {
    "host": "host",
    "path_prefix": "path_prefix",
    "timeout": "timeout_ms",
    "max_attempts": "max_attempts",
    "due": "due_ms",
    "burst": "burst",
    "keys": "api_keys",
}
"""Field of the configuration by attribute of the decoded types."""


def show(value: Any) -> str:
    """Return a short printable form of a value."""
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "a list"
    text = json.dumps(value)
    if len(text) <= MAX_SHOWN_LENGTH:
        return text
    return text[: MAX_SHOWN_LENGTH - 3] + "..."


def shorten_key(key: Any) -> str:
    """Return the start of an API key, which is at most a quarter of it."""
    text = key if isinstance(key, str) else ""
    return text[: min(4, len(text) // 4)] + "..."
