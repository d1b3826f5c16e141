"""Stateful test of the message protocol of the limits under failures."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from primroseford.limits import owner
from primroseford.limits import requester
from primroseford.limits.bucket import BucketKey
from primroseford.limits.bucket import Limit
from primroseford.limits.gen.messages.ttypes import DemandRequest

HOSTS = ("a", "b", "c")
LEASE_SECONDS = 3.0
LIMIT = Limit(rate=40.0, burst=20.0)
KEY = BucketKey("org", False)
BATCH_KEY = BucketKey("org", True)
TIME_STEPS_SECONDS = st.sampled_from([0.001, 0.01, 0.05, 0.2, 0.35, 1.0, 3.1, 6.5])


def excess(spent, rate, burst):
    """Return the largest excess of any window over rate times its length plus burst.

    The level of a leaky bucket is the largest amount above the rate over all windows
    that end at that moment.
    """
    largest = level = last = 0.0
    for at, amount in sorted(spent):
        level = max(0.0, level - rate * (at - last)) + amount
        last = at
        largest = max(largest, level)
    return largest - burst


@dataclass
class OwnerTerm:
    """Ownership of the group by one host under one lease."""

    host: str
    state: owner.OwnerState
    lease_until: float
    alive: bool = True


class Protocol(RuleBasedStateMachine):
    """Three hosts, one organisation, and a network that may lose, delay, reorder and
    duplicate messages.
    """

    @initialize()
    def start(self):
        self.now = 100.0
        self.fencing = 0
        self.starts = 0
        self.owner_terms = []
        self.fallback_hosts = set(HOSTS)
        self.platform_up = True
        self.in_flight = []
        self.spent = []
        self.permits = []
        self.hosts = {name: self.new_host() for name in HOSTS}
        self.take_over("a")
        self.run_undisturbed(4)

    def new_host(self):
        """Return the state of a host that has just started."""
        self.starts += 1
        return requester.create_requester(0, str(self.starts), self.now)

    def take_over(self, host):
        """Make a host the owner, without the state of the previous owner."""
        self.fencing += 1
        state = owner.create_empty_state(0, self.fencing, self.now)
        self.owner_terms.append(OwnerTerm(host, state, self.now + LEASE_SECONDS))

    def current_fallback_hosts(self):
        """Return the hosts with a fallback allowance."""
        return owner.FallbackHosts(frozenset(self.fallback_hosts), len(HOSTS))

    @rule(seconds=st.sampled_from([0, 1, 4]))
    def run_undisturbed(self, seconds):
        """Let all hosts exchange messages with the owner, without faults.

        Buckets fill up, and the hosts' promises not to use their fallback allowance are
        renewed.
        """
        for _ in range(seconds + 1):
            for host in self.hosts:
                self.exchange(host)
                self.exchange(host)
            if seconds:
                self.now += 1.0
            self.renew()

    @rule(host=st.sampled_from(HOSTS))
    def exchange(self, host):
        """Send a request to the current owner and apply its answer at once."""
        if host not in self.hosts:
            return
        state = self.hosts[host]
        request = requester.next_request(state, self.now, force=True)
        before = len(self.in_flight)
        self.in_flight.append((host, self.owner_terms[-1], request))
        for _ in range(2):
            if len(self.in_flight) > before:
                self.deliver(before, False)

    @rule(host=st.sampled_from(HOSTS), amount=st.sampled_from([1, 5, 20]))
    def spend_all(self, host, amount):
        """Spend as many tokens as the host can obtain, in requests of one size."""
        for _ in range(20 // amount + 1):
            self.spend(host, KEY, amount)
            self.exchange(host)
            self.spend(host, KEY, amount)

    @rule(step=TIME_STEPS_SECONDS)
    def advance(self, step):
        """Advance the time; an owner whose lease expires stops answering."""
        self.now += step

    @rule(host=st.sampled_from(HOSTS), key=st.sampled_from([KEY, BATCH_KEY]))
    def send_request(self, host, key):
        """Send a request to the current and the previous owner."""
        if host not in self.hosts:
            return
        state = self.hosts[host]
        request = requester.next_request(state, self.now, force=True)
        self.in_flight += [
            (host, owner_term, request) for owner_term in self.owner_terms[-2:]
        ]

    @rule(
        host=st.sampled_from(HOSTS),
        key=st.sampled_from([KEY, BATCH_KEY]),
        amount=st.integers(1, 12),
    )
    def spend(self, host, key, amount):
        """Admit a request if the host has the tokens, else let it wait."""
        if host not in self.hosts:
            return
        state = self.hosts[host]
        account = requester.get_account(state, key, self.now)
        requester.record_use(account, amount, self.now)
        taken = requester.take_tokens(account, amount, self.now)
        if taken is None and not key.batch:
            share = 1 / len(HOSTS)
            taken = requester.take_fallback(
                state, account, amount, 40.0 * share, 20.0 * share, self.now
            )
        account.waiting = 0 if taken else amount
        account.next_request_at = 0.0
        if taken:
            entry = (self.now, amount)
            self.spent.append(entry)
            self.permits.append((entry, taken))

    @precondition(lambda self: self.permits)
    @rule(index=st.integers(0, 100))
    def refund(self, index):
        """Refund the tokens of a request that did not run."""
        entry, taken = self.permits.pop(index % len(self.permits))
        requester.refund(taken, self.now)
        self.spent.remove(entry)

    @precondition(lambda self: self.in_flight)
    @rule(index=st.integers(0, 100), duplicate=st.booleans())
    def deliver(self, index, duplicate):
        """Deliver any message in flight, out of order, perhaps leaving a duplicate."""
        index %= len(self.in_flight)
        host, owner_term, message = (
            self.in_flight[index] if duplicate else self.in_flight.pop(index)
        )
        if isinstance(message, DemandRequest):
            if not owner_term.alive or self.now >= owner_term.lease_until:
                return
            answer = owner.answer(
                owner_term.state,
                host,
                message,
                lambda _: LIMIT,
                self.current_fallback_hosts(),
                self.now,
            )
            self.in_flight.append((host, owner_term, answer))
        elif host in self.hosts:
            requester.apply_answer(self.hosts[host], owner_term.host, message, self.now)

    @precondition(lambda self: self.in_flight)
    @rule()
    def deliver_all(self):
        """Deliver all messages in flight in order."""
        for _ in range(len(self.in_flight) * 2):
            if self.in_flight:
                self.deliver(0, False)

    @precondition(lambda self: self.in_flight)
    @rule(index=st.integers(0, 100))
    def lose_message(self, index):
        """Lose a message."""
        self.in_flight.pop(index % len(self.in_flight))

    @rule()
    def renew(self):
        """Renew the lease in time, unless the platform is down."""
        owner_term = self.owner_terms[-1]
        if self.platform_up and owner_term.alive and self.now < owner_term.lease_until:
            owner_term.lease_until = self.now + LEASE_SECONDS

    @rule(up=st.booleans())
    def switch_platform(self, up):
        """Start or end an outage of the platform."""
        self.platform_up = up

    @rule(host=st.sampled_from(HOSTS))
    def replace_owner(self, host):
        """Let a host take over after the old lease has expired."""
        term = self.owner_terms[-1]
        if self.platform_up and self.now >= term.lease_until and host in self.hosts:
            self.take_over(host)

    @rule(host=st.sampled_from(HOSTS), delay=st.sampled_from([0.0, 0.4, 2.0]))
    def hand_over(self, host, delay):
        """Hand over as in a graceful shutdown; the answer may be slow."""
        term = self.owner_terms[-1]
        if not (self.platform_up and term.alive and self.now < term.lease_until):
            return
        requested_at = self.now
        message = owner.hand_over(term.state, self.current_fallback_hosts(), self.now)
        term.alive = False
        self.now += delay
        self.fencing += 1
        state = owner.create_handed_over_state(
            message, self.fencing, requested_at, self.now
        )
        self.owner_terms.append(OwnerTerm(host, state, self.now + LEASE_SECONDS))

    @rule(host=st.sampled_from(HOSTS))
    def crash(self, host):
        """Crash a host, which loses its tokens and its ownership."""
        self.hosts.pop(host, None)
        for owner_term in self.owner_terms:
            owner_term.alive = owner_term.alive and owner_term.host != host

    @rule(host=st.sampled_from(HOSTS))
    def restart(self, host):
        """Restart a crashed host."""
        if host not in self.hosts:
            self.hosts[host] = self.new_host()
            self.fallback_hosts.add(host)

    @rule()
    def remove_lost_hosts(self):
        """Remove the crashed hosts from the membership."""
        self.fallback_hosts = set(self.hosts)

    @invariant()
    def stays_within_rate_and_burst(self):
        """Guards against more than rate times w plus burst in any window w."""
        assert excess(self.spent, LIMIT.rate, LIMIT.burst) <= 1e-6


TestProtocol = Protocol.TestCase
TestProtocol.settings = settings(
    derandomize=True, max_examples=300, stateful_step_count=40, deadline=None
)


def test_excess_finds_a_window_over_the_bound():
    """Guards against a check of the bound that always passes."""
    assert excess([(0.0, 20), (1.0, 10)], 10.0, 20.0) == 0
    assert excess([(0.0, 20), (1.0, 11)], 10.0, 20.0) == 1
    assert excess([(5.0, 15), (5.1, 7)], 10.0, 20.0) > 0.9
