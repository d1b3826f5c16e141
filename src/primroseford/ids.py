"""Identifier types shared by several packages."""

from __future__ import annotations

from typing import NewType

HostId = NewType("HostId", str)
Incarnation = NewType("Incarnation", str)
FailureDomainId = NewType("FailureDomainId", str)
OrganisationId = NewType("OrganisationId", str)
KeyId = NewType("KeyId", str)
RouteName = NewType("RouteName", str)
PoolName = NewType("PoolName", str)
RunnerName = NewType("RunnerName", str)
SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of a runner's software, as its entry names it; not that of the weights."""
RequestId = NewType("RequestId", str)
FileId = NewType("FileId", str)
JobId = NewType("JobId", str)
FencingNumber = NewType("FencingNumber", int)
Version = NewType("Version", int)
PromptPartId = NewType("PromptPartId", str)
GranterId = NewType("GranterId", int)
"""A process that grants tokens; it differs after each start."""
