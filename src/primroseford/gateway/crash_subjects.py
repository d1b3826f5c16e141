"""What a request has in common with others under which a runner may crash.

A runner may crash on a prompt part, whatever else the request holds, or on one request
that comes again and again. Both are named by ids of one kind.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from primroseford.gateway.affinity import shared_part_positions
from primroseford.ids import PromptPartId
from primroseford.quarantine.verdict import REQUEST_PREFIX

if TYPE_CHECKING:
    from primroseford.gateway.requests import IncomingRequest
    from primroseford.gateway.tables import Organisation

DIGEST_BYTES = 16


class CrashSubjects:
    """Ids of the shared prompt parts of a request and of the request itself.

    The id of a request is a digest of its path, organisation and body, which stay the
    same when a caller repeats it. It is computed only when it is needed, since a body
    can be several MB.
    """

    def __init__(
        self, incoming: IncomingRequest, organisation: Organisation | None
    ) -> None:
        self.incoming = incoming
        self.organisation = organisation
        self.digest: PromptPartId | None = None

    @property
    def request(self) -> PromptPartId:
        """Id of the request itself."""
        if self.digest is None:
            name = self.organisation.name if self.organisation is not None else ""
            digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
            for part in (self.incoming.target.encode(), name.encode()):
                digest.update(len(part).to_bytes(4, "big") + part)
            digest.update(self.incoming.body)
            self.digest = PromptPartId(REQUEST_PREFIX + digest.hexdigest())
        return self.digest

    def __contains__(self, subject: PromptPartId) -> bool:
        """Return whether a quarantine of a subject concerns the request."""
        if subject.startswith(REQUEST_PREFIX):
            return subject == self.request
        return subject in self.incoming.shared_parts

    def positions(self) -> dict[PromptPartId, int]:
        """Return the subjects, each with its position; the request comes last."""
        prompt = self.incoming.prompt
        return {**shared_part_positions(prompt), self.request: len(prompt)}

    def known(self, has_evidence: bool) -> list[PromptPartId]:
        """Return the subjects that evidence of crashes can concern.

        :param has_evidence: whether crashes or quarantines are known; otherwise no
            request can be concerned as a whole
        """
        parts = self.incoming.shared_parts
        return [*parts, self.request] if has_evidence else parts
