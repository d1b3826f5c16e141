"""JSON encoding of the objects that are sent to the platform's service."""

from __future__ import annotations

import json
from typing import Any


def encode_json(value: Any) -> bytes:
    """Encode a value as it is sent to the service, which limits an object's size."""
    return json.dumps(value, separators=(",", ":")).encode()


def encoded_bytes(value: Any) -> int:
    """Return the size of a value within an encoded object, in bytes.

    A character can take up to twelve bytes, so the length of a text does not bound it.
    """
    return len(encode_json(value))
