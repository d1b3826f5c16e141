from __future__ import annotations

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from primroseford.batch.claimed_chunk import declare_intents
from primroseford.batch.claimed_chunk import record_answer
from primroseford.batch.claimed_chunk import write_chunk
from primroseford.batch.runners import ItemAnswer
from primroseford.batch.state import JobState
from primroseford.batch.tests.fleet import Fleet
from primroseford.batch.tests.fleet import answer_ok
from primroseford.batch.tests.fleet import raise_unavailable
from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError

ITEMS = 6
HOSTS = ("a", "b", "c")
RUNNER_DIED = ItemAnswer(0, b"", Outcome.MAY_HAVE_RUN, died=True)
host_names = st.sampled_from(HOSTS)


class JobLife(RuleBasedStateMachine):
    """Hosts claim, run, store, pause and lose responses in any order."""

    repeatable = True

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.fleet = Fleet(repeatable=self.repeatable)
        self.name = self.do(self.fleet.accept(ITEMS))
        self.hosts = {name: self.fleet.host(name) for name in HOSTS}
        self.claimed_chunks: dict[str, list] = {name: [] for name in HOSTS}
        self.runs = dict.fromkeys(range(ITEMS), 0)
        self.final: dict[str, str] = {}
        self.ended = ""

    def do(self, coroutine):
        """Run a coroutine to its end."""
        return self.loop.run_until_complete(coroutine)

    def teardown(self) -> None:
        """Close the loop."""
        self.loop.close()

    def attempt(self, host, coroutine, fault):
        """Run a host's step with a fault: none, call refused, or response lost."""
        client = self.hosts[host].client
        if fault != "none":
            client.fault = lambda verb, kind, after: (
                raise_unavailable()
                if after is (fault == "lost") and verb != "get"
                else None
            )
        try:
            return self.do(coroutine)
        except PrimrosefordError:
            return None
        finally:
            client.fault = lambda *_: None

    faults = st.sampled_from(["none", "none", "none", "refused", "lost"])

    @rule(host=host_names, fault=faults)
    def claim(self, host, fault):
        """Claim a chunk, possibly by takeover from a host that left."""
        context = self.hosts[host].feeder.context
        job, _ = self.do(self.fleet.store().read(self.name))
        if job.state is not JobState.ACTIVE:
            return
        claimed = context.claimer.claim(self.name, job, context.live())
        chunk = self.attempt(host, claimed, fault)
        if chunk is not None:
            self.claimed_chunks[host].append(chunk)

    @rule(host=host_names, dies=st.booleans(), fault=faults)
    def run_item(self, host, dies, fault):
        """Run one item; store its intent first if it is non-repeatable."""
        for chunk in self.claimed_chunks[host]:
            if chunk.closed or not chunk.pending:
                continue
            index = chunk.pending.pop(0)
            chunk.running.add(index)
            jobs = self.hosts[host].feeder.context.jobs
            if not self.repeatable:
                declared = declare_intents(jobs, chunk, [index])
                if not self.attempt(host, declared, fault):
                    chunk.running.discard(index)
                    chunk.pending.insert(0, index)
                    return
            self.runs[index] += 1
            request = type("Request", (), {"request_id": f"{host}-{index}"})
            answer = RUNNER_DIED if dies else answer_ok(request)
            record_answer(chunk, index, answer, self.repeatable)
            return

    @rule(host=host_names, fault=faults)
    def store(self, host, fault):
        """Store the results of a host."""
        for chunk in self.claimed_chunks[host]:
            jobs = self.hosts[host].feeder.context.jobs
            self.attempt(host, write_chunk(jobs, chunk, 0.0), fault)

    @rule(host=host_names)
    def leave_or_return(self, host):
        """Let a host leave or rejoin the membership, as after a pause."""
        self.fleet.live.symmetric_difference_update({host})

    @rule()
    def wait_for_takeover(self):
        """Advance the clock beyond the takeover time."""
        self.fleet.clock.advance(121.0)

    @rule(host=host_names)
    def close(self, host):
        """Complete the job if all chunks are committed."""
        jobs = self.hosts[host].feeder.context.jobs
        job, _ = self.do(jobs.read(self.name))
        self.do(jobs.close_if_done(self.name, job))

    @precondition(lambda self: not self.ended)
    @rule()
    def cancel(self):
        """Cancel the job unless it has another final state."""
        try:
            self.do(self.fleet.store().cancel("org-0", self.name))
        except PrimrosefordError:
            return

    @invariant()
    def results_stay(self):
        """A result that was read once never changes; a final state is final."""
        found = self.do(self.fleet.results(self.name))
        current = {r["custom_id"]: r["response"]["body"]["id"] for r in found}
        assert len(current) == len(found)
        assert self.final.items() <= current.items()
        self.final = current
        state = self.do(self.fleet.state_of(self.name))
        assert self.ended in ("", state)
        self.ended = "" if state == "active" else state
        assert self.fleet.completions(self.name) <= 1
        if state == "completed":
            failed = self.do(self.fleet.results(self.name, False))
            assert len(current) + len(failed) == ITEMS

    @invariant()
    def runs_are_bounded(self):
        """A non-repeatable item runs at most once."""
        assert self.repeatable or max(self.runs.values()) <= 1


class SingleRunLife(JobLife):
    """The same state machine for non-repeatable items."""

    repeatable = False


LIFE = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=30
)
TestJobLife = JobLife.TestCase
TestJobLife.settings = LIFE
TestSingleRunLife = SingleRunLife.TestCase
TestSingleRunLife.settings = LIFE
