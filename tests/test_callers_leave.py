"""Callers that hang up while their request waits: nothing more is begun for them, and what runs is ended.

The replicas here say nothing for as long as their caller waits, and deadlines are long, so that only
the caller's leaving can end a wait.
"""

import socket

import pytest

import tests.platform_site as platform_site
import tests.platform_stand_in as stand_in

LONG_MS = 60_000  # of a deadline that no test reaches
SPAN = 8.0  # s; a wait that must end before it


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


class Caller:
    """One request on a connection of its own, whose end is in the test's hands."""

    def __init__(self, site, host, prompt=True, surplus=b""):
        address, port = site.address.rsplit(":", 1)
        self.id = f"leaver{next(stand_in.COUNT):06x}"
        fields = {"Host": host, "Try-Id": self.id, "Content-Length": "0", **(platform_site.PROMPT if prompt else {})}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self.socket = socket.create_connection((address, int(port)), 10)
        self.socket.sendall(f"POST /p/x HTTP/1.1\r\n{head}\r\n".encode() + surplus)

    def leave(self):
        self.socket.close()


def service(site, legs, **more):
    return site.service(legs, deadline_ms=LONG_MS, target_ms=LONG_MS, **more)


def leave_while_it_is_silent(site, caller, replica):
    """The caller leaves once the request is at the replica; returns when the replica saw its connection end."""
    platform_site.until(lambda: replica.asked)
    caller.leave()
    platform_site.until(lambda: replica.left == 1, SPAN)
    ended(site)


def ended(site):
    platform_site.until(lambda: site.router.in_flight == 0, SPAN)


@pytest.mark.parametrize("surplus", [b"", b"POST /p/y HTTP/1.1\r\n"], ids=["closed", "closed after surplus bytes"])
def test_who_leaves_during_the_prefill_gets_no_decode(site, surplus):
    host, (reader, writer) = service(site, "pd")
    reader.always = {"silent": True}
    leave_while_it_is_silent(site, Caller(site, host, surplus=surplus), reader)
    assert platform_site.asked([writer]) == 0 and len(reader.asked) == 1


@pytest.mark.parametrize("resumable, tries", [(False, 1), (True, 2)], ids=["runs once", "may be taken up"])
def test_who_leaves_before_the_first_event_ends_the_decode_and_gets_no_other(site, resumable, tries):
    host, (reader, *writers) = service(site, "pdd", resumable=resumable, tries=tries)
    for writer in writers:
        writer.always = {"silent": True}
    caller = Caller(site, host)
    platform_site.until(lambda: platform_site.asked(writers) == 1)
    caller.leave()
    platform_site.until(lambda: sum(writer.left for writer in writers) == 1, SPAN)
    ended(site)
    assert platform_site.asked(writers) == 1
    platform_site.until(lambda: reader.freed, SPAN)  # what was read is not left behind


@pytest.mark.parametrize("resumable", [False, True])
def test_who_leaves_between_two_events_ends_the_run(site, resumable):
    host, (reader, *writers) = service(
        site, "pdd", resumable=resumable, tries=2, facts={"events": 3, "gap": LONG_MS / 1000}
    )
    caller = Caller(site, host)
    assert caller.socket.recv(5)
    caller.leave()
    platform_site.until(lambda: sum(writer.left for writer in writers) == 1, SPAN)
    ended(site)
    assert platform_site.asked(writers) == 1


def test_who_leaves_while_the_answer_is_gathered_ends_the_run(site):
    host, (writer,) = service(site, "d", engine=False, kind="repeatable", facts={"events": 0})
    writer.always = {"silent": True}
    leave_while_it_is_silent(site, Caller(site, host, prompt=False), writer)


def test_a_replica_is_not_blamed_for_a_caller_that_left(site):
    host, (reader, writer) = service(site, "pd")
    writer.always = {"silent": True}
    leave_while_it_is_silent(site, Caller(site, host), writer)
    assert (
        writer.name not in site.router.replicas.consecutive_failures
        and writer.name not in site.router.replicas.suspected_until
    )


def test_who_leaves_while_no_place_is_free_is_sent_nowhere(site, monkeypatch):
    host, replicas = service(site, "pd")
    looked = []
    pair = site.router.placement.reserve_pair

    def after_the_caller_left(*given):
        if not looked:
            looked.append(True)
            caller.leave()
            return None
        return pair(*given)

    monkeypatch.setattr(site.router.placement, "reserve_pair", after_the_caller_left)
    caller = Caller(site, host)
    platform_site.until(lambda: looked)
    ended(site)
    assert platform_site.asked(replicas) == 0
