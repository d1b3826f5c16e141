"""Callers of a soak: they send requests and batch jobs and record the outcomes."""

from __future__ import annotations

import asyncio
import base64
import json
import re
import time
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING

import aiohttp

from primroseford.platform.headers import API_KEY
from primroseford.platform.headers import DEADLINE
from primroseford.platform.headers import LAST_EVENT
from primroseford.platform.headers import REQUEST_ID
from primroseford.platform.headers import SIGNATURE
from primroseford.platform.headers import WAIT
from primroseford.platform.job_calls import JOB_PATH
from primroseford.standins.fleet_objects import HOST
from primroseford.standins.fleet_objects import KEY
from primroseford.standins.fleet_objects import RESUMES

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from primroseford.soak.fleet import SoakFleet
    from primroseford.soak.processes import HostProcess

DEADLINE_SECONDS = 5.0
CALLER_TIMEOUT_SECONDS = 20.0
"""Timeout of a caller; well above the deadline, so that the checks can tell a late
response from a missing one."""
REQUEST_PAUSE_SECONDS = 0.03
READINESS_CHECK_SECONDS = 1.0
"""Interval at which the load balancer checks whether a host is ready."""
FAILED_CHECKS = 2
"""Consecutive failed checks after which a host gets no new connections."""
MEAN_JOB_GAP_SECONDS = 2.5
JOB_ITEMS = 6
MAX_RESUMES = 3
"""Requests that a caller sends to resume one stream."""
MAX_RETRY_AFTER_SECONDS = 2.0
"""Longest wait of a caller before it repeats a refused request."""
EVENT_END = b"\n\n"
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)
JOB_READ_SECONDS = 0.3
"""Interval between two reads of the jobs."""


class RequestKind(Enum):
    """Kinds of requests; the value is the start of the path."""

    IDEMPOTENT = "/ping/whole-"
    ONCE = "/once/whole-"
    STREAM_ONCE = "/nudge/"
    STREAM_RESUMABLE = "/pick/"
    ADDED = "/added-"
    WITHDRAWN_KEY = "/ping/whole-withdrawn-"


@dataclass(eq=False)
class SentRequest:
    """One request and its outcome.

    :param start: how often the host had been started when the request was sent
    :param status: status of the response; 0 if there was none
    :param complete: whether the whole response was received
    :param retry_after: value of ``Retry-After``; empty for none
    :param resumed: earlier tries of the stream that this request resumes
    """

    id: str
    kind: RequestKind
    path: str
    key: str
    host: HostProcess
    start: int
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    complete: bool = False
    body: bytes = b""
    response_id: str = ""
    signature: str = ""
    reason: str = ""
    retry_after: str = ""
    resumed: tuple[SentRequest, ...] = ()

    def events(self) -> bytes:
        """Return the complete events of this try."""
        events, end, _ = self.body.rpartition(EVENT_END)
        return events + end if self.status == 200 else b""

    def stream(self) -> bytes:
        """Return the body with the events of the earlier tries before it."""
        return b"".join(sent.events() for sent in self.resumed) + self.body


@dataclass(eq=False)
class SoakJob:
    """One batch job.

    :ivar statuses: statuses of the attempts to submit the job
    :ivar results: results by position, as first read
    :ivar cancellation_sent: whether a caller has asked to cancel it
    :ivar cancelled_at: local time at which its cancellation was acknowledged
    """

    id: str
    statuses: list[int] = field(default_factory=list)
    results: list[dict] = field(default_factory=list)
    cancellation_sent: bool = False
    cancelled_at: float = 0.0
    problems: list[str] = field(default_factory=list)

    @property
    def accepted(self) -> bool:
        """Whether a host accepted the job."""
        return 202 in self.statuses


@dataclass(eq=False)
class Callers:
    """The load balancer and the callers of online requests and batch jobs.

    :ivar submitting: whether new jobs are submitted
    :ivar calling: whether online requests are sent
    """

    fleet: SoakFleet
    random: Random
    sent: list[SentRequest] = field(default_factory=list)
    jobs: list[SoakJob] = field(default_factory=list)
    failed_checks: dict[str, int] = field(default_factory=dict)
    tasks: list[asyncio.Task] = field(default_factory=list)
    submitting: bool = True
    calling: bool = True
    stopping: bool = False
    count: int = 0

    def start(self, workers: int) -> None:
        """Start the balancer and the callers."""
        coroutines = [self._balance(), self._submit_jobs(), self._read_jobs()]
        coroutines += [self._call() for _ in range(workers)]
        self.tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]

    async def stop(self) -> None:
        """Wait for the open requests, and raise any error of a caller's task."""
        self.stopping = True
        await asyncio.gather(*self.tasks)

    def ready_hosts(self) -> list[HostProcess]:
        """Return the hosts to which the load balancer sends new connections."""
        failed = self.failed_checks
        return [h for h in self.fleet.hosts if failed.get(h.name, 9) < FAILED_CHECKS]

    async def request(
        self,
        session: aiohttp.ClientSession,
        host: HostProcess,
        kind: RequestKind,
        **options,
    ) -> SentRequest:
        """Send one request and record its outcome."""
        self.count += 1
        path = options.get("path") or f"{kind.value}{self.count}"
        sent = SentRequest(
            f"soak-{self.count}",
            kind,
            path,
            options.get("key", KEY),
            host,
            host.starts,
            time.monotonic(),
            resumed=options.get("resumed", ()),
        )
        self.sent.append(sent)
        headers = self._headers(sent.id, sent.key) | resume_headers(sent.resumed)
        url = host.ingress + path
        try:
            async with session.post(url, data=b"prompt", headers=headers) as response:
                sent.status = response.status
                sent.response_id = response.headers.get(REQUEST_ID, "")
                sent.signature = response.headers.get(SIGNATURE, "")
                sent.retry_after = response.headers.get("Retry-After", "")
                async for chunk in response.content.iter_any():
                    sent.body += chunk
                sent.complete = True
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            sent.reason = repr(error)
        sent.ended_at = time.monotonic()
        return sent

    async def _call(self) -> None:
        """Send requests to one host over its connection until that connection fails."""
        host = None
        async with _session() as session:
            while self.calling and not self.stopping:
                ready = self.ready_hosts()
                host = host or (self.random.choice(ready) if ready else None)
                if host is not None:
                    sent = await self._call_once(session, host)
                    await self._resume(session, sent)
                    if not sent.status:
                        host = None
                await asyncio.sleep(REQUEST_PAUSE_SECONDS)

    async def _call_once(self, session, host: HostProcess) -> SentRequest:
        versions = self.fleet.versions
        kind = self.random.choice(list(RequestKind))
        if kind is RequestKind.ADDED and versions.routes:
            path = f"{list(versions.routes)[-1]}whole-{self.count}"
            return await self.request(session, host, kind, path=path)
        withdrawn = [key for key, at in versions.keys.items() if at is not None]
        if kind is RequestKind.WITHDRAWN_KEY and withdrawn:
            return await self.request(session, host, kind, key=withdrawn[-1])
        if kind in (RequestKind.ADDED, RequestKind.WITHDRAWN_KEY):
            kind = RequestKind.IDEMPOTENT
        return await self.request(session, host, kind)

    async def _resume(self, session, sent: SentRequest) -> None:
        """Resume a broken stream at other hosts, if it has an event."""
        tries = [sent]
        while (
            sent.kind is RequestKind.STREAM_RESUMABLE
            and not self.stopping
            and len(tries) <= MAX_RESUMES
            and resume_headers(tries)
            and (not tries[-1].complete or tries[-1].status == 503)
        ):
            others = [h for h in self.ready_hosts() if h is not tries[-1].host]
            host = self.random.choice(others or [tries[-1].host])
            wait = float(tries[-1].retry_after or 0)
            await asyncio.sleep(min(wait, MAX_RETRY_AFTER_SECONDS))
            options = {"path": sent.path, "resumed": tuple(tries)}
            tries.append(await self.request(session, host, sent.kind, **options))

    async def _balance(self) -> None:
        async with _session(READINESS_CHECK_SECONDS) as session:
            while not self.stopping:
                await asyncio.gather(
                    *(self._check(session, h) for h in self.fleet.hosts)
                )
                await asyncio.sleep(READINESS_CHECK_SECONDS)

    async def _check(self, session, host: HostProcess) -> None:
        try:
            async with session.get(host.readiness) as response:
                ready = response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            ready = False
        failed = self.failed_checks.get(host.name, FAILED_CHECKS)
        self.failed_checks[host.name] = 0 if ready else failed + 1

    async def _submit_jobs(self) -> None:
        async with _session() as session:
            while self.submitting:
                job = SoakJob(f"job-{len(self.jobs)}")
                self.jobs.append(job)
                await self._submit(session, job)
                if len(self.jobs) % 4 == 0 and job.accepted:
                    await self._cancel(session, job)
                await asyncio.sleep(self.random.expovariate(1 / MEAN_JOB_GAP_SECONDS))

    async def _submit(self, session, job: SoakJob) -> None:
        items = [
            {
                "id": f"{job.id}.{number}",
                "path": f"/notes/{job.id}/{number}",
                "headers": {},
                "body": base64.b64encode(job.id.encode()).decode(),
                "tokens": 10,
            }
            for number in range(JOB_ITEMS)
        ]
        body = json.dumps({"items": items}).encode()
        while not job.accepted and self.submitting:
            ready = self.ready_hosts()
            if ready:
                host = self.random.choice(ready)
                status, _ = await self._send_job_request(
                    session, host, "POST", "/notes/x", job.id, body
                )
                job.statuses.append(status)
            await asyncio.sleep(REQUEST_PAUSE_SECONDS)

    async def _cancel(self, session, job: SoakJob) -> None:
        for host in self.ready_hosts():
            path = JOB_PATH + job.id
            job.cancellation_sent = True
            status, _ = await self._send_job_request(
                session, host, "DELETE", path, "end"
            )
            if status == 200:
                job.cancelled_at = time.monotonic()
                return

    async def _read_jobs(self) -> None:
        async with _session() as session:
            while not self.stopping:
                for job in [job for job in self.jobs if job.accepted]:
                    hosts = self.ready_hosts()
                    if hosts:
                        await self.read(session, job, self.random.choice(hosts))
                await asyncio.sleep(JOB_READ_SECONDS)

    async def read(
        self, session: aiohttp.ClientSession, job: SoakJob, host: HostProcess
    ) -> bool:
        """Read all results of a job; return whether the read succeeded."""
        path = f"{JOB_PATH}{job.id}?after=0"
        status, body = await self._send_job_request(
            session, host, "GET", path, f"read-{job.id}"
        )
        if status != 200:
            if status in (404, 410):
                job.problems.append(f"{host.name} answered {status}")
            return False
        results = json.loads(body)["results"]
        common = min(len(results), len(job.results))
        if results[:common] != job.results[:common]:
            job.problems.append(
                f"{host.name} returns results that differ from those read before"
            )
        job.results += results[len(job.results) :]
        return True

    async def _send_job_request(
        self,
        session,
        host: HostProcess,
        method: str,
        path: str,
        request_id: str,
        body: bytes | None = None,
    ) -> tuple[int, bytes]:
        headers = self._headers(request_id, KEY) | {WAIT: "0"}
        url = host.ingress + path
        try:
            async with session.request(
                method, url, data=body, headers=headers
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            # The caller retries, possibly with another host.
            return 0, b""

    def _headers(self, request_id: str, key: str) -> dict[str, str]:
        return {
            "Host": HOST,
            REQUEST_ID: request_id,
            API_KEY: key,
            DEADLINE: f"{DEADLINE_SECONDS * 1000:.0f}",
        }


def resume_headers(tries: Sequence[SentRequest]) -> dict[str, str]:
    """Return the headers that resume a stream; none if it has no event with an id."""
    for sent in reversed(tries):
        ids = EVENT_ID.findall(sent.events())
        if ids:
            began = next(tried for tried in tries if tried.events())
            return {LAST_EVENT: ids[-1].decode(), RESUMES: began.id}
    return {}


def _session(seconds: float = CALLER_TIMEOUT_SECONDS) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=seconds),
    )
