"""The operator's requests to send nothing to the runners of a failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.ids import FailureDomainId

if TYPE_CHECKING:
    from primroseford.platform.view import View

EVACUATION_KIND = "evacuations"
"""Objects of this kind have the name of the failure domain to evacuate."""


def decode_evacuated_domains(view: View) -> frozenset[FailureDomainId]:
    """Return the failure domains that are evacuated."""
    return frozenset(FailureDomainId(name) for name in view.objects)
