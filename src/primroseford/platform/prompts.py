"""Decodes the header that describes a request's prompt."""

from __future__ import annotations

import hashlib
import re
from typing import TYPE_CHECKING

from primroseford.gateway.affinity import PromptPart
from primroseford.ids import PromptPartId
from primroseford.platform.headers import PROMPT_PARTS
from primroseford.quarantine.verdict import REQUEST_PREFIX

if TYPE_CHECKING:
    from collections.abc import Mapping

TOKENS_PATTERN = re.compile(r"[0-9]{1,9}")
MAX_PROMPT_PARTS = 64
"""Number of parts of a prompt that are decoded; further parts are ignored."""
MAX_ID_LENGTH = 64
"""Longest id of a part that is kept as it is, since hosts send ids to each other."""


def decode_prompt(headers: Mapping[str, str]) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt; empty if the header is missing or malformed.

    The header is only a hint for the choice of a runner. The runner validates it, so a
    malformed header is not an error here.
    """
    parts = []
    for text in headers.get(PROMPT_PARTS, "").split(",")[:MAX_PROMPT_PARTS]:
        name, _, tokens = text.strip().rpartition(":")
        if not name or not TOKENS_PATTERN.fullmatch(tokens):
            return ()
        parts.append(PromptPart(_part_id(name), int(tokens)))
    return tuple(parts)


def _part_id(name: str) -> PromptPartId:
    """Return the id of a part: its name, or a hash if that is too long or reserved."""
    if len(name) > MAX_ID_LENGTH or name.startswith(REQUEST_PREFIX):
        name = hashlib.sha256(name.encode(errors="replace")).hexdigest()
    return PromptPartId(name)
