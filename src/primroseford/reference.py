"""Generates the reference pages of settings and tables from the pydantic models.

``python -m primroseford.reference settings > docs/settings.md``
``python -m primroseford.reference tables > docs/tables.md``
"""

from __future__ import annotations

import inspect
import re
import sys
from enum import Enum
from typing import TYPE_CHECKING
from typing import get_args

from pydantic import BaseModel
from pydantic_core import PydanticUndefined

from primroseford.configuration.check import KINDS_BY_DOCUMENT
from primroseford.configuration.tables import RECORD_TYPES
from primroseford.daemon.settings import Settings

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pydantic.fields import FieldInfo

PARAM_FIELD = re.compile(r":param (\w+): (.*?)(?=\n\s*:|\Z)", re.DOTALL)
TABLE_HEADER = "| field | default | bounds | meaning |\n|---|---|---|---|\n"
SETTINGS_HEADER = """\
# Settings reference

One YAML file for each host, given by `primrosefordd --settings FILE`. The whole file is
checked before anything starts, and all problems are reported at once. This page is
generated from the checked model by `python -m primroseford.reference settings`.

"""
TABLES_HEADER = """\
# Tables reference

Tables are YAML files under version control; each document names its `kind` and
`name`. `primroseford check` finds all problems offline, `primroseford apply` writes
what differs. Keys are not in the tables: `primroseford key create` stores only a key's
hash. This page is generated from the checked models by
`python -m primroseford.reference tables`.
"""


def iter_rows(model: type[BaseModel], prefix: str = "") -> Iterator[str]:
    """Yield one Markdown table row for each field of a model and its nested models.

    :param model: the model
    :param prefix: path of the model within the file, with a trailing dot
    """
    texts = {
        name: " ".join(text.split())
        for name, text in PARAM_FIELD.findall(inspect.getdoc(model) or "")
    }
    for name, field in model.model_fields.items():
        nested_model, suffix = _nested_model(field)
        if nested_model is not None:
            yield from iter_rows(nested_model, f"{prefix}{name}{suffix}.")
        elif not (prefix == "" and name == "name" and "name" not in texts):
            cells = [f"`{prefix}{name}`", _default(field), _bounds(field)]
            yield "| " + " | ".join([*cells, texts.get(name, "")]) + " |"


def _nested_model(field: FieldInfo) -> tuple[type[BaseModel] | None, str]:
    annotation = field.annotation
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation, ""
    for argument in get_args(annotation):
        if isinstance(argument, type) and issubclass(argument, BaseModel):
            return argument, "[]"
    return None, ""


def _default(field: FieldInfo) -> str:
    if field.default is PydanticUndefined:
        return "required"
    if isinstance(field.default, Enum):
        return f"`{field.default.value}`"
    if field.default is None:
        return "none"
    if field.default == ():
        return "empty list"
    return f"`{field.default}`"


def _bounds(field: FieldInfo) -> str:
    bounds: list[str] = []
    for item in [*field.metadata, *_nested_metadata(field)]:
        for name in ("gt", "ge", "lt", "le", "min_length", "max_length", "pattern"):
            value = getattr(item, name, None)
            if value is not None:
                text = f"{name} `{value}`" if name == "pattern" else f"{name} {value}"
                bounds.append(text.replace("|", "\\|"))
    return ", ".join(bounds)


def _nested_metadata(field: FieldInfo) -> list[object]:
    return [
        item
        for argument in get_args(field.annotation)
        for item in getattr(argument, "__metadata__", ())
    ]


def render_settings() -> str:
    """Return the reference page of the settings."""
    return SETTINGS_HEADER + TABLE_HEADER + "\n".join(iter_rows(Settings)) + "\n"


def render_tables() -> str:
    """Return the reference page of the tables."""
    sections = [TABLES_HEADER]
    for document, kind in KINDS_BY_DOCUMENT.items():
        model = RECORD_TYPES[kind]
        summary = (inspect.getdoc(model) or "").splitlines()[0]
        sections.append(f"\n## {document}\n\n{summary}\n\n")
        sections.append(TABLE_HEADER + "\n".join(iter_rows(model)) + "\n")
    return "".join(sections)


PAGES = {"settings": render_settings, "tables": render_tables}

if __name__ == "__main__":
    sys.stdout.write(PAGES[sys.argv[1]]())
