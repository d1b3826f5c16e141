"""Objects of the platform's service as the client sees them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Any

from primroseford.ids import Version

DECODING_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)
"""What decoded JSON of another shape raises; infinity is a number in it."""
OPERATION_FIELD = "operation"
"""Id of the write that produced an object. It lies in the ``spec`` of this project's
own kinds, since the service keeps no annotations."""
CONTENT_FIELD = "content"

Spec = dict[str, Any]


class EventType(Enum):
    """What a watch event reports."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"
    BOOKMARK = "BOOKMARK"


@dataclass(frozen=True)
class PlatformObject:
    """One object with its version.

    :param kind: kind of the object
    :param name: unique within its kind
    :param version: version of the service at the object's last change
    :param spec: content
    :param labels: labels that lists can select by
    :param operation: id of the write that produced this version; empty for objects
        that the platform's operators and runners write
    :param status: what the object's ``status`` holds, if anything
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

    :param type: what happened
    :param version: version of the service that the event brings the reader to
    :param object: the object, or nothing for a bookmark
    """

    type: EventType
    version: Version
    object: PlatformObject | None


def decode_object(kind: str, body: dict[str, Any]) -> PlatformObject:
    """Return the object in a JSON body of the service.

    :param kind: kind of the object
    :param body: decoded JSON
    :raises Exception: one of ``DECODING_ERRORS`` if it is none
    """
    metadata = body["metadata"]
    if not isinstance(metadata["name"], str):
        raise TypeError("an object has no name")
    spec = body.get("spec")
    own = isinstance(spec, dict) and OPERATION_FIELD in spec and CONTENT_FIELD in spec
    return PlatformObject(
        kind=kind,
        name=metadata["name"],
        version=Version(int(metadata["revision"])),
        spec=spec[CONTENT_FIELD] if own else spec,
        labels=spec.get("labels", {}) if own else {},
        operation=spec[OPERATION_FIELD] if own else "",
        status=body.get("status"),
    )


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
    :param labels: short fields that readers use without decoding the content
    :param operation: unique id of this write
    :param version: version the write is conditional on
    """
    metadata: dict[str, Any] = {"name": name, "finalizers": []}
    if version is not None:
        metadata["revision"] = int(version)
    wrapped = {OPERATION_FIELD: operation, "labels": labels, CONTENT_FIELD: spec}
    return {"metadata": metadata, "spec": wrapped}
