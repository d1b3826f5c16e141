"""Result codes and the exception that carries one."""

from __future__ import annotations

from enum import Enum
from enum import IntEnum


class Outcome(Enum):
    """Whether a refused or failed request ran on a runner."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class ResultCode(IntEnum):
    """Result codes; ``docs/result-codes.md`` explains each one."""

    OK = 0
    MALFORMED = 1001
    UNKNOWN_FIELD = 1002
    INVALID_VALUE = 1003
    DANGLING_REFERENCE = 1004
    DUPLICATE_NAME = 1005
    BODY_TOO_LARGE = 1006
    ROUTE_NOT_FOUND = 1007
    MODEL_NOT_FOUND = 1008
    NOT_FOUND = 1009
    MISSING_FIELD = 1010
    KEY_MISSING = 2001
    KEY_UNKNOWN = 2002
    KEY_WITHDRAWN = 2003
    NOT_AUTHORISED = 2004
    PEER_UNTRUSTED = 2005
    RATE_LIMITED = 3001
    QUEUE_FULL = 3002
    DEADLINE_UNREACHABLE = 3003
    POOL_UNAVAILABLE = 3004
    HOST_STOPPING = 3005
    HOST_ISOLATED = 3006
    RETRY_BUDGET_EXHAUSTED = 3007
    PROMPT_QUARANTINED = 3008
    STREAM_VERSION_GONE = 3009
    STREAM_VERSION_UNKNOWN = 3010
    HOST_MEMORY_SHORT = 3011
    RUNNER_UNREACHABLE = 4001
    RUNNER_FAILED = 4002
    RUNNER_TIMEOUT = 4003
    STREAM_TRUNCATED = 4004
    ANSWER_MISMATCHED = 4005
    DUPLICATE_REQUEST = 4006
    IDEMPOTENCY_CONFLICT = 4007
    REQUEST_IN_PROGRESS = 4008
    PLATFORM_UNAVAILABLE = 5001
    VERSION_CONFLICT = 5002
    ALREADY_EXISTS = 5003
    WATCH_EXPIRED = 5004
    CALLS_LIMITED = 5005
    PEER_UNREACHABLE = 5006
    PEER_PROTOCOL = 5007
    LEASE_LOST = 5008
    FENCED = 5009
    INTERNAL = 5010
    PEER_SETTINGS_DIFFER = 5011
    PEER_TIMEOUT = 5012
    JOB_CANCELLED = 6001
    ITEM_INVALID = 6002
    ITEM_ATTEMPTS_EXHAUSTED = 6003
    ITEM_OUTCOME_UNKNOWN = 6004
    JOB_NOT_FINISHED = 6005
    JOB_EXPIRED = 6006
    JOB_FINISHED = 6007
    FILE_IN_USE = 6008
    RESULT_TOO_LARGE = 6009
    TOO_MANY_ITEMS = 6010
    JOB_OUTCOME_UNKNOWN = 6011


HTTP_STATUS = {
    ResultCode.OK: 200,
    ResultCode.MALFORMED: 400,
    ResultCode.UNKNOWN_FIELD: 400,
    ResultCode.INVALID_VALUE: 400,
    ResultCode.MISSING_FIELD: 400,
    ResultCode.DANGLING_REFERENCE: 400,
    ResultCode.DUPLICATE_NAME: 409,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.ROUTE_NOT_FOUND: 404,
    ResultCode.MODEL_NOT_FOUND: 404,
    ResultCode.NOT_FOUND: 404,
    ResultCode.KEY_MISSING: 401,
    ResultCode.KEY_UNKNOWN: 401,
    ResultCode.KEY_WITHDRAWN: 401,
    ResultCode.NOT_AUTHORISED: 403,
    ResultCode.PEER_UNTRUSTED: 403,
    ResultCode.RATE_LIMITED: 429,
    ResultCode.QUEUE_FULL: 503,
    ResultCode.DEADLINE_UNREACHABLE: 503,
    ResultCode.POOL_UNAVAILABLE: 503,
    ResultCode.HOST_STOPPING: 503,
    ResultCode.HOST_ISOLATED: 503,
    ResultCode.RETRY_BUDGET_EXHAUSTED: 503,
    ResultCode.PROMPT_QUARANTINED: 503,
    ResultCode.STREAM_VERSION_GONE: 503,
    ResultCode.STREAM_VERSION_UNKNOWN: 503,
    ResultCode.HOST_MEMORY_SHORT: 503,
    ResultCode.RUNNER_UNREACHABLE: 502,
    ResultCode.RUNNER_FAILED: 502,
    ResultCode.RUNNER_TIMEOUT: 504,
    ResultCode.STREAM_TRUNCATED: 502,
    ResultCode.ANSWER_MISMATCHED: 502,
    ResultCode.DUPLICATE_REQUEST: 409,
    ResultCode.IDEMPOTENCY_CONFLICT: 409,
    ResultCode.REQUEST_IN_PROGRESS: 409,
    ResultCode.PLATFORM_UNAVAILABLE: 503,
    ResultCode.VERSION_CONFLICT: 409,
    ResultCode.ALREADY_EXISTS: 409,
    ResultCode.WATCH_EXPIRED: 410,
    ResultCode.CALLS_LIMITED: 503,
    ResultCode.FENCED: 409,
    ResultCode.JOB_CANCELLED: 409,
    ResultCode.JOB_NOT_FINISHED: 409,
    ResultCode.ITEM_INVALID: 400,
    ResultCode.JOB_FINISHED: 409,
    ResultCode.FILE_IN_USE: 409,
    ResultCode.TOO_MANY_ITEMS: 413,
    ResultCode.JOB_OUTCOME_UNKNOWN: 504,
}
"""HTTP status by result code; codes not listed map to 500."""


class PrimrosefordError(Exception):
    """An error with a result code.

    :param code: the result code
    :param message: one sentence that describes the error
    :param field: path of the invalid field, if the error concerns one
    :param hint: how to correct the error, if known
    :param outcome: whether the request ran on a runner
    :param retry_after: seconds after which a retry may succeed
    """

    def __init__(
        self,
        code: ResultCode,
        message: str,
        *,
        field: str | None = None,
        hint: str | None = None,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.field = field
        self.hint = hint
        self.outcome = outcome
        self.retry_after = retry_after

    @property
    def http_status(self) -> int:
        """HTTP status of a response that reports this error."""
        return HTTP_STATUS.get(self.code, 500)

    def __str__(self) -> str:
        text = f"[{int(self.code)}] {self.message}"
        if self.field:
            text += f" (field {self.field})"
        if self.hint:
            text += f" Hint: {self.hint}"
        return text
