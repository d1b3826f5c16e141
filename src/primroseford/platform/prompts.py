"""Decodes what a request's headers say of its prompt."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from primroseford.gateway.affinity import PromptPart
from primroseford.platform.headers import PROMPT_PARTS

if TYPE_CHECKING:
    from collections.abc import Mapping

TOKENS_PATTERN = re.compile(r"[0-9]{1,9}")
MAX_PARTS = 64
"""Parts of one prompt that are looked at; the rest decides on nothing."""


def decode_prompt(headers: Mapping[str, str]) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt; none if the header is absent or not readable.

    The header is a hint here, and the runner judges it, so nothing is refused.
    """
    parts = []
    for text in headers.get(PROMPT_PARTS, "").split(",")[:MAX_PARTS]:
        name, _, tokens = text.strip().rpartition(":")
        if not name or not TOKENS_PATTERN.fullmatch(tokens):
            return ()
        parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)
