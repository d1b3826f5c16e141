"""Budget of the memory that a host holds for its callers."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

MB = 1_000_000
DEFAULT_MEMORY_MB = 512
"""Memory of a process whose settings do not state it (``limits.memory_mb``)."""
PROCESS_BYTES = 64 * MB
"""Memory that a process needs without any load; 59 to 62 MB were measured."""
BUDGET_SHARE = 2 / 3
"""Part of the remaining memory that may be charged. The process grows by about 1.2
times what is charged: bytearrays allocate an eighth more than they hold, and
connections hold bytes that no request has read yet."""
MIN_BUDGET_BYTES = 16 * MB
"""Budget of a process with very little memory: one largest body in transit, and the
part for small requests."""
SMALL_BYTES = 64 * 1024
"""Size up to which a request may use the whole budget; prompts are smaller."""
LARGE_SHARE = 0.75
"""Part of the budget that larger requests may use together. The rest is reserved for
small ones, which are served while large bodies fill their part."""
JOB_SHARE = 0.375
"""Part of the budget that batch jobs may use together: half of the part for large
requests, so that bodies in transit always have the other half."""
STALL_SECONDS = 1.0
"""Time without progress after which an incomplete body gives way."""
PROGRESS_BYTES = 64 * 1024
"""Bytes that must arrive in this time to count as progress. At a lower speed a body of
4 MiB takes longer than the default timeout of a route, 60 s."""


@dataclass(eq=False)
class Holding:
    """Memory that is held for one request or one batch job.

    :param began: local time in seconds at which its first bytes were held
    :param job: whether it is a job, which stays after the request that submitted it
    :ivar size: charged bytes
    :ivar evictable: whether the body is incomplete, so that the request may be refused
    :ivar progress_at: local time of the last progress in seconds
    :ivar progress_size: size at that time
    """

    began: float
    job: bool = False
    size: int = 0
    evictable: bool = False
    progress_at: float = 0.0
    progress_size: int = 0

    def __post_init__(self) -> None:
        self.progress_at = self.began

    def is_stalled(self, now: float) -> bool:
        """Return whether the body makes no progress, or arrives very slowly."""
        return self.evictable and now - self.progress_at >= STALL_SECONDS


@dataclass(frozen=True)
class MemoryDecision:
    """Decision on a charge.

    :param admitted: whether the bytes may be held
    :param evicted: holdings of which nothing is charged any more; their requests must
        be refused at once
    """

    admitted: bool
    evicted: tuple[Holding, ...] = ()


@dataclass(eq=False)
class HostMemory:
    """The holdings of a host within its budget.

    :param budget: bytes that may be held for all requests together
    :ivar total: charged bytes
    :ivar large: charged bytes of jobs and of requests above ``SMALL_BYTES``
    :ivar jobs: charged bytes of jobs
    """

    budget: int
    holdings: set[Holding] = field(default_factory=set)
    total: int = 0
    large: int = 0
    jobs: int = 0

    @property
    def job_budget(self) -> int:
        """Bytes that all jobs may use together."""
        return int(JOB_SHARE * self.budget)

    def admits_job(self, kept: int, size: int) -> bool:
        """Return whether a job may be held beside those that cannot be dropped.

        A single job is admitted whatever the budget is.

        :param kept: charged bytes of the jobs that cannot be dropped
        :param size: bytes of the job
        """
        return not kept or kept + size <= self.job_budget

    def charge_job(self, holding: Holding, size: int) -> None:
        """Charge a job that is held in any case.

        :param size: bytes that are held in all
        """
        self._set_size(holding, size)

    def charge(self, holding: Holding, size: int, now: float) -> MemoryDecision:
        """Charge a holding with a new size, and choose what has to give way for it.

        :param size: bytes that are held in all
        :param now: local time in seconds
        """
        evicted = []
        while not self._fits(holding, size):
            victim = self._choose_victim(holding, size, now)
            if victim is None:
                return MemoryDecision(False, tuple(evicted))
            self.release(victim)
            evicted.append(victim)
        self._set_size(holding, size)
        if size - holding.progress_size >= PROGRESS_BYTES:
            holding.progress_at = now
            holding.progress_size = size
        return MemoryDecision(True, tuple(evicted))

    def overdue(self, now: float, seconds: float) -> list[Holding]:
        """Release the incomplete bodies without progress for a time, and return them.

        :param now: local time in seconds
        """
        found = [
            holding
            for holding in self.holdings
            if holding.evictable and now - holding.progress_at >= seconds
        ]
        for holding in found:
            self.release(holding)
        return found

    def release(self, holding: Holding) -> None:
        """Record that nothing is held for a request any more."""
        self._set_size(holding, 0)
        self.holdings.discard(holding)

    def _set_size(self, holding: Holding, size: int) -> None:
        self.holdings.add(holding)
        self.total += size - holding.size
        self.large += _large_bytes(holding, size) - _large_bytes(holding, holding.size)
        if holding.job:
            self.jobs += size - holding.size
        holding.size = size

    def is_short(self, holding: Holding, size: int) -> bool:
        """Return whether the new size of a request exceeds the budget.

        :param size: bytes that are held in all
        """
        others = self.large - _large_bytes(holding, holding.size)
        total = self.total - holding.size + size
        if size <= SMALL_BYTES:
            # Results make jobs grow after they are accepted; what they take beyond the
            # part for large holdings does not keep small requests out.
            return total - max(0, others - LARGE_SHARE * self.budget) > self.budget
        return others + size > LARGE_SHARE * self.budget or total > self.budget

    def _fits(self, holding: Holding, size: int) -> bool:
        others = self.large - self.jobs - _large_bytes(holding, holding.size)
        # A single large request is served whatever the budget is.
        is_single = size > SMALL_BYTES and not others
        return is_single or not self.is_short(holding, size)

    def _choose_victim(self, holding: Holding, size: int, now: float) -> Holding | None:
        """Return the stalled holding that has held most for longest, if there is one.

        A small request needs the room of any other one, a large one that of large ones.
        """
        stalled = [
            other
            for other in self.holdings
            if other is not holding
            and other.is_stalled(now)
            and (size <= SMALL_BYTES or other.size > SMALL_BYTES)
        ]
        return max(
            stalled, key=lambda other: other.size * (now - other.began), default=None
        )


def _large_bytes(holding: Holding, size: int) -> int:
    return size if holding.job or size > SMALL_BYTES else 0


def create_host_memory(memory_mb: float | None) -> HostMemory:
    """Return the budget of a process.

    :param memory_mb: memory of the process in MB; ``None`` if it is not known
    """
    memory_bytes = int((memory_mb or DEFAULT_MEMORY_MB) * MB)
    budget = int(BUDGET_SHARE * (memory_bytes - PROCESS_BYTES))
    return HostMemory(max(MIN_BUDGET_BYTES, budget))
