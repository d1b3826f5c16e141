"""What the heartbeats of other hosts tell about jobs."""

from __future__ import annotations

import pytest

from primroseford.gateway.gen.messages.ttypes import Heartbeat
from primroseford.gateway.gen.messages.ttypes import JobProgress
from primroseford.gateway.members import PEER_RETENTION_SECONDS
from primroseford.gateway.members import Members
from primroseford.ids import HostId
from primroseford.peer.codec import decode
from primroseford.peer.codec import encode


def report(**fields) -> JobProgress:
    """Return a report on the job "j", as it arrives."""
    return decode(JobProgress, encode(JobProgress("j", 2, "", "/", 5, **fields)))


def receive(
    members: Members, host: str, sequence: int, *jobs, incarnation="i", now=1.0
):
    """Receive a heartbeat."""
    heartbeat = Heartbeat(
        host, incarnation, f"{host}:1", "a", sequence, False, jobs=list(jobs)
    )
    members.receive(heartbeat, now)


@pytest.fixture
def members() -> Members:
    """The members that host "a" knows."""
    return Members(HostId("a"))


@pytest.mark.parametrize(
    ("fields", "running"),
    [
        ({}, ["b"]),
        ({"stopped": None, "ended": None}, ["b"]),
        ({"stopped": True}, []),
        ({"stopped": True, "ended": True}, []),
    ],
)
def test_stopped_job_counts_as_running(members, fields, running):
    """Guards against two hosts that each stop a job for the report of the other."""
    receive(members, "b", 1, report(**fields))
    assert members.running("j", 1.0) == running
    assert members.reporting("j", 1.0) == ["b"]


def test_results_are_read_first_from_a_host_that_has_stopped_the_job(members):
    """Guards against reads of old results while another host has newer ones."""
    receive(members, "b", 1, report(stopped=True))
    receive(members, "c", 1, report())
    assert members.reporting("j", 1.0) == ["c", "b"]


@pytest.mark.parametrize(
    ("last", "known"),
    [
        ({"stopped": True}, {"j"}),
        ({}, {"j"}),
        ({"stopped": True, "ended": True}, set()),
    ],
)
@pytest.mark.parametrize("end", ["dropped", "restarted", "removed"])
def test_open_job_is_forgotten_with_its_last_report(members, last, known, end):
    """Guards against an open job that no host knows, and finished ones looked up."""
    receive(members, "b", 1, report())
    receive(members, "b", 2, report(**last))
    if end == "dropped":
        receive(members, "b", 3)
    elif end == "restarted":
        receive(members, "b", 1, incarnation="new")
    else:
        members.remove_lost(2.0 + PEER_RETENTION_SECONDS)
        assert not members.peers
    assert members.known_jobs() == known


def test_finished_job_stays_known_for_an_older_report(members):
    """Guards against a finished job that a host looks up, since it had dropped out."""
    receive(members, "b", 1, report())
    receive(members, "b", 2)
    receive(members, "c", 1, report())
    assert members.known_jobs() == {"j"}
    receive(members, "c", 2, report(stopped=True, ended=True))
    receive(members, "d", 1, report(stopped=True))
    assert members.ended == {"j"}
    receive(members, "c", 3)
    receive(members, "d", 2)
    assert not members.known_jobs() and not members.ended


def test_report_of_a_running_job_grows_by_fields_with_default_values():
    """Guards against bytes in each heartbeat that say what their absence says."""
    sent = encode(JobProgress("j", 2, "", "/", 5, None, None))
    assert len(sent) == len(encode(JobProgress("j", 2, "", "/", 5, True, None))) - 1
    assert not decode(JobProgress, sent).stopped
