"""Objects of the platform's service and their JSON form."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Any

from primroseford.ids import Version
from primroseford.platform.lenient_json import is_shallow

DECODING_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""Exceptions that decoding of malformed JSON can raise. Python's JSON decoder accepts
infinity, whose conversion to an integer raises ``OverflowError``, and raises
``RecursionError`` for deeply nested values."""
MAX_VERSION = 2**63 - 1
MAX_NAME_LENGTH = 512
OPERATION_FIELD = "operation"
"""Field for the id of the write that produced an object. It is part of the ``spec`` of
this project's own kinds, because the service stores no annotations."""
CONTENT_FIELD = "content"

Spec = dict[str, Any]


class EventType(Enum):
    """Type of a watch event."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"
    BOOKMARK = "BOOKMARK"


@dataclass(frozen=True)
class PlatformObject:
    """One object at a version.

    :param kind: kind of the object
    :param name: unique within its kind
    :param version: version of the service at the object's last change
    :param spec: content
    :param labels: labels by which the client can filter lists
    :param operation: id of the write that produced this version; empty for objects
        that the platform's operators and runners write
    :param status: content of the object's ``status``, if there is one
    """

    kind: str
    name: str
    version: Version
    spec: Spec
    labels: dict[str, str] = field(default_factory=dict)
    operation: str = ""
    status: Any = None


@dataclass(frozen=True)
class ObjectList:
    """All selected objects of a kind at one version of the service."""

    version: Version
    items: tuple[PlatformObject, ...]


@dataclass(frozen=True)
class WatchEvent:
    """A change of one object, or a bookmark.

    :param type: type of the event
    :param version: version of the service that the reader has reached with the event
    :param object: the object; none for a bookmark
    """

    type: EventType
    version: Version
    object: PlatformObject | None


def decode_object(kind: str, body: dict[str, Any]) -> PlatformObject:
    """Decode an object from a JSON body of the service.

    :param kind: kind of the object
    :param body: decoded JSON
    :raises Exception: one of ``DECODING_ERRORS`` if the body is malformed
    """
    metadata = body["metadata"]
    name = metadata["name"]
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_LENGTH:
        raise TypeError("the name of the object is not a short string")
    spec = body.get("spec")
    if not is_shallow(spec):
        # No reader of such an object can use it, but it replaces the one before.
        spec = None
    own = isinstance(spec, dict) and OPERATION_FIELD in spec and CONTENT_FIELD in spec
    return PlatformObject(
        kind=kind,
        name=name,
        version=decode_version(metadata["revision"]),
        spec=spec[CONTENT_FIELD] if own else spec,
        labels=spec.get("labels", {}) if own else {},
        operation=spec[OPERATION_FIELD] if own else "",
        status=body.get("status"),
    )


def decode_version(value: Any) -> Version:
    """Decode a version of the service.

    :raises ValueError: if it does not fit into 64 bits
    """
    number = int(value)
    if not 0 <= number <= MAX_VERSION:
        raise ValueError("the version is out of range")
    return Version(number)


def encode_object(
    name: str,
    spec: Spec,
    labels: dict[str, str],
    operation: str,
    version: Version | None = None,
) -> dict[str, Any]:
    """Return the JSON body of a write.

    :param name: name of the object
    :param spec: content
    :param labels: short fields that readers can use without decoding the content
    :param operation: unique id of this write
    :param version: version that the write is conditional on; none for a creation
    """
    metadata: dict[str, Any] = {"name": name, "finalizers": []}
    if version is not None:
        metadata["revision"] = int(version)
    wrapped = {OPERATION_FIELD: operation, "labels": labels, CONTENT_FIELD: spec}
    return {"metadata": metadata, "spec": wrapped}
