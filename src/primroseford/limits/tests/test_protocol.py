"""State machine over the message protocol of the limits with failures."""

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
BATCH = BucketKey("org", True)
STEPS = st.sampled_from([0.001, 0.01, 0.05, 0.2, 0.35, 1.0, 3.1, 6.5])


def excess(spent, rate, burst):
    """Return the most that any window holds over rate times its length and burst.

    The level of a leaking meter is the largest such amount over all windows that
    end now.
    """
    worst = level = last = 0.0
    for at, amount in sorted(spent):
        level = max(0.0, level - rate * (at - last)) + amount
        last = at
        worst = max(worst, level)
    return worst - burst


@dataclass
class Holder:
    """One host's time as owner."""

    host: str
    state: owner.OwnerState
    lease_until: float
    alive: bool = True


class Protocol(RuleBasedStateMachine):
    """Three hosts, one organisation and a network that fails in all ways."""

    @initialize()
    def start(self):
        self.now = 100.0
        self.fencing = 0
        self.starts = 0
        self.holders = []
        self.fallback_hosts = set(HOSTS)
        self.platform = True
        self.bag = []
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
        """Give the lease to a host that knows nothing of the last owner."""
        self.fencing += 1
        state = owner.create_empty_state(0, self.fencing, self.now)
        self.holders.append(Holder(host, state, self.now + LEASE_SECONDS))

    def members(self):
        """Return the hosts that may use a floor."""
        return owner.FallbackHosts(frozenset(self.fallback_hosts), len(HOSTS))

    @rule(seconds=st.sampled_from([0, 1, 4]))
    def run_undisturbed(self, seconds):
        """Let all hosts talk to the owner, so that buckets and promises fill."""
        for _ in range(seconds + 1):
            for host in self.hosts:
                self.exchange(host)
                self.exchange(host)
            if seconds:
                self.now += 1.0
            self.renew()

    @rule(host=st.sampled_from(HOSTS))
    def exchange(self, host):
        """Ask the present owner and apply its answer at once."""
        if host not in self.hosts:
            return
        state = self.hosts[host]
        request = requester.next_request(state, self.now, force=True)
        before = len(self.bag)
        self.bag.append((host, self.holders[-1], request))
        for _ in range(2):
            if len(self.bag) > before:
                self.deliver(before, False)

    @rule(host=st.sampled_from(HOSTS), amount=st.sampled_from([1, 5, 20]))
    def drain(self, host, amount):
        """Spend as many tokens as the host can get, in requests of one size."""
        for _ in range(20 // amount + 1):
            self.spend(host, KEY, amount)
            self.exchange(host)
            self.spend(host, KEY, amount)

    @rule(step=STEPS)
    def advance(self, step):
        """Let time pass, which also pauses every holder past its lease."""
        self.now += step

    @rule(host=st.sampled_from(HOSTS), key=st.sampled_from([KEY, BATCH]))
    def ask(self, host, key):
        """Send a request to every holder there ever was."""
        if host not in self.hosts:
            return
        state = self.hosts[host]
        request = requester.next_request(state, self.now, force=True)
        self.bag += [(host, holder, request) for holder in self.holders[-2:]]

    @rule(
        host=st.sampled_from(HOSTS),
        key=st.sampled_from([KEY, BATCH]),
        amount=st.integers(1, 12),
    )
    def spend(self, host, key, amount):
        """Admit a request if the host has the tokens, else wait for them."""
        if host not in self.hosts:
            return
        state = self.hosts[host]
        account = requester.account_of(state, key, self.now)
        requester.note_use(account, amount, self.now)
        taken = requester.take(account, amount, self.now)
        if taken is None and not key.batch:
            share = 1 / len(HOSTS)
            taken = requester.take_floor(
                state, account, amount, 40.0 * share, 20.0 * share, self.now
            )
        account.waiting = 0 if taken else amount
        account.ask_at = 0.0
        if taken:
            entry = (self.now, amount)
            self.spent.append(entry)
            self.permits.append((entry, taken))

    @precondition(lambda self: self.permits)
    @rule(index=st.integers(0, 100))
    def refund(self, index):
        """Give back the tokens of a request that did not run."""
        entry, taken = self.permits.pop(index % len(self.permits))
        requester.refund(taken, self.now)
        self.spent.remove(entry)

    @precondition(lambda self: self.bag)
    @rule(index=st.integers(0, 100), keep=st.booleans())
    def deliver(self, index, keep):
        """Deliver any message, in any order, once or repeatedly."""
        index %= len(self.bag)
        host, holder, message = self.bag[index] if keep else self.bag.pop(index)
        if isinstance(message, DemandRequest):
            if not holder.alive or self.now >= holder.lease_until:
                return
            found = owner.answer(
                holder.state,
                host,
                message,
                lambda _: LIMIT,
                self.members(),
                self.now,
            )
            self.bag.append((host, holder, found))
        elif host in self.hosts:
            requester.apply_answer(self.hosts[host], holder.host, message, self.now)

    @precondition(lambda self: self.bag)
    @rule()
    def deliver_all(self):
        """Deliver everything that is under way in order."""
        for _ in range(len(self.bag) * 2):
            if self.bag:
                self.deliver(0, False)

    @precondition(lambda self: self.bag)
    @rule(index=st.integers(0, 100))
    def lose(self, index):
        """Lose a message."""
        self.bag.pop(index % len(self.bag))

    @rule()
    def renew(self):
        """Renew the lease in time, unless the platform is down."""
        holder = self.holders[-1]
        if self.platform and holder.alive and self.now < holder.lease_until:
            holder.lease_until = self.now + LEASE_SECONDS

    @rule(up=st.booleans())
    def switch_platform(self, up):
        """Begin or end an outage of the platform."""
        self.platform = up

    @rule(host=st.sampled_from(HOSTS))
    def replace_owner(self, host):
        """Take over after the old lease has ended."""
        last = self.holders[-1]
        if self.platform and self.now >= last.lease_until and host in self.hosts:
            self.take_over(host)

    @rule(host=st.sampled_from(HOSTS), delay=st.sampled_from([0.0, 0.4, 2.0]))
    def hand_over(self, host, delay):
        """Hand over as planned; the answer may be slow."""
        last = self.holders[-1]
        if not (self.platform and last.alive and self.now < last.lease_until):
            return
        asked_at = self.now
        message = owner.hand_over(last.state, self.members(), self.now)
        last.alive = False
        self.now += delay
        self.fencing += 1
        state = owner.open_handed_over(message, self.fencing, asked_at, self.now)
        self.holders.append(Holder(host, state, self.now + LEASE_SECONDS))

    @rule(host=st.sampled_from(HOSTS))
    def crash(self, host):
        """Lose a host with all that it holds."""
        self.hosts.pop(host, None)
        for holder in self.holders:
            holder.alive = holder.alive and holder.host != host

    @rule(host=st.sampled_from(HOSTS))
    def restart(self, host):
        """Start a lost host again."""
        if host not in self.hosts:
            self.hosts[host] = self.new_host()
            self.fallback_hosts.add(host)

    @rule()
    def remove_lost_hosts(self):
        """Let the membership drop the hosts that are gone."""
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
    """Guards against a check that cannot fail."""
    assert excess([(0.0, 20), (1.0, 10)], 10.0, 20.0) == 0
    assert excess([(0.0, 20), (1.0, 11)], 10.0, 20.0) == 1
    assert excess([(5.0, 15), (5.1, 7)], 10.0, 20.0) > 0.9
