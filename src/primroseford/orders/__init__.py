"""Orders to model engines, for example to load a model."""

from __future__ import annotations
