"""Decoding of JSON of which single values cannot be decoded.

Another writer can put a value into an object of the store that is valid JSON but
exceeds what a decoder accepts: nested too deeply, or a number with too many digits. It
can also put bytes into a text that are not UTF-8. Such a value must not make the whole
response unreadable.
"""

from __future__ import annotations

import json
import re
from typing import Any

import structlog

TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
MEMBER = re.compile(r'\s*("(?:[^"\\]|\\.)*")\s*:', re.DOTALL)
STRING = re.compile(r'"(?:[^"\\]|\\.)*"(\s*:)?', re.DOTALL)
"""A text, with the colon if it is the name of a member."""
NOT_UTF_8 = re.compile(r"[\udc80-\udcff]")
"""Bytes that are not UTF-8, as the ``surrogateescape`` handler decodes them."""
MAX_SPLIT_DEPTH = 5
"""Levels of a response that are decoded value by value: the response, a list, an event,
an object, its fields."""
MAX_DEPTH = 32
"""Deepest nesting of a value that is kept, since values are encoded again for peers."""
UNREADABLE_NAME = "\ufffd"
"""Name of members whose name has bytes that are not UTF-8."""
UNDECODABLE = (ValueError, RecursionError)

log = structlog.get_logger()


def decode_json(content: bytes) -> Any:
    """Decode JSON; a value that cannot be decoded is replaced by ``None``.

    :raises ValueError: if the content as a whole is not JSON
    """
    try:
        return json.loads(content)
    except UNDECODABLE as error:
        reason = type(error).__name__
    text = STRING.sub(_replace_unreadable, content.decode(errors="surrogateescape"))
    decoded = _decode_parts(text, MAX_SPLIT_DEPTH)
    if decoded is None:
        raise ValueError("the content is not JSON")
    log.warning("response has values that cannot be decoded", reason=reason)
    return decoded


def _replace_unreadable(found: re.Match[str]) -> str:
    """Return a text as it is, or null for one with bytes that are not UTF-8."""
    if not NOT_UTF_8.search(found[0]):
        return found[0]
    return "null" if found[1] is None else f'"{UNREADABLE_NAME}":'


def _decode_parts(text: str, depth: int) -> Any:
    """Decode a value, and its members one by one if that fails."""
    try:
        return json.loads(text)
    except UNDECODABLE:
        text = text.strip()
    if not depth or text[:1] not in ("{", "["):
        return None
    try:
        parts = _split(text)
    except ValueError:
        return None
    if text[0] == "[":
        return [_decode_parts(part, depth - 1) for part in parts]
    members = {}
    for part in parts:
        name = MEMBER.match(part)
        if name is not None:
            key = json.loads(name[1])
            members[key] = _decode_parts(part[name.end() :], depth - 1)
    return members


def _split(text: str) -> list[str]:
    """Return the text of each element or member of an array or object.

    :raises ValueError: if brackets are missing
    """
    parts, level, begin = [], 0, 1
    for token in TOKEN.finditer(text):
        kind = token[0]
        if kind in ("[", "{"):
            level += 1
        elif kind in ("]", "}"):
            level -= 1
            if not level:
                parts.append(text[begin : token.start()])
                return parts if parts != [""] else []
        elif kind == "," and level == 1:
            parts.append(text[begin : token.start()])
            begin = token.end()
    raise ValueError("the value has no end")


def is_shallow(value: Any) -> bool:
    """Return whether a decoded value is nested at most ``MAX_DEPTH`` deep."""
    level = [value]
    for _ in range(MAX_DEPTH):
        inner = []
        for container in level:
            if isinstance(container, dict):
                inner += container.values()
            elif isinstance(container, list):
                inner += container
        level = [item for item in inner if isinstance(item, dict | list)]
        if not level:
            return True
    return False
