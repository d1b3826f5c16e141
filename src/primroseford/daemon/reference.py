"""Writes ``docs/settings.md`` from the checked settings model.

``python -m primroseford.daemon.reference > docs/settings.md``
"""

from __future__ import annotations

import inspect
import re
import sys
from typing import TYPE_CHECKING
from typing import get_args

from pydantic import BaseModel
from pydantic_core import PydanticUndefined

from primroseford.daemon.settings import Settings

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pydantic.fields import FieldInfo

PARAM = re.compile(r":param (\w+): (.*?)(?=\n\s*:|\Z)", re.DOTALL)
HEADER = """\
# Settings reference

One YAML file for each host, given by `primrosefordd --settings FILE`. The whole file is
checked before anything starts, and all problems are reported at once. This page is
generated from the checked model by `python -m primroseford.daemon.reference`.

| field | default | bounds | meaning |
|---|---|---|---|
"""


def describe(model: type[BaseModel], prefix: str = "") -> Iterator[str]:
    """Yield one table row for each field of a model and its sections.

    :param model: the model
    :param prefix: path of the model within the file
    """
    texts = {
        name: " ".join(text.split())
        for name, text in PARAM.findall(inspect.getdoc(model) or "")
    }
    for name, field in model.model_fields.items():
        if isinstance(field.annotation, type) and issubclass(
            field.annotation, BaseModel
        ):
            yield from describe(field.annotation, f"{prefix}{name}.")
        else:
            cells = [f"`{prefix}{name}`", _default(field), _bounds(field)]
            yield "| " + " | ".join([*cells, texts.get(name, "")]) + " |"


def _default(field: FieldInfo) -> str:
    if field.default is PydanticUndefined:
        return "required"
    if field.default is None:
        return "none"
    if field.default == ():
        return "empty list"
    return f"`{field.default}`"


def _bounds(field: FieldInfo) -> str:
    found: list[str] = []
    for item in [*field.metadata, *_inner_metadata(field)]:
        for name in ("gt", "ge", "lt", "le", "min_length", "max_length", "pattern"):
            value = getattr(item, name, None)
            if value is not None:
                text = f"{name} `{value}`" if name == "pattern" else f"{name} {value}"
                found.append(text.replace("|", "\\|"))
    return ", ".join(found)


def _inner_metadata(field: FieldInfo) -> list[object]:
    return [
        item
        for argument in get_args(field.annotation)
        for item in getattr(argument, "__metadata__", ())
    ]


def render() -> str:
    """Return the whole page."""
    return HEADER + "\n".join(describe(Settings)) + "\n"


if __name__ == "__main__":
    sys.stdout.write(render())
