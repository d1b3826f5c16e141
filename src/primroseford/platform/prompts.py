"""Decodes the header that describes a request's prompt."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from primroseford.gateway.affinity import PromptPart
from primroseford.ids import PromptPartId
from primroseford.platform.headers import PROMPT_PARTS

if TYPE_CHECKING:
    from collections.abc import Mapping

TOKENS_PATTERN = re.compile(r"[0-9]{1,9}")
MAX_PROMPT_PARTS = 64
"""Number of parts of a prompt that are decoded; further parts are ignored."""


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
        parts.append(PromptPart(PromptPartId(name), int(tokens)))
    return tuple(parts)
