"""Origins of streams: where the first event that went out to a caller came from."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseford.ids import PoolName
    from primroseford.ids import SoftwareVersion


@dataclass(frozen=True)
class StreamOrigin:
    """Pool and software version that began a stream, which goes on only there.

    :param attempt: number of the request's attempt whose event went out first, from 1
    """

    pool: PoolName
    version: SoftwareVersion
    attempt: int
