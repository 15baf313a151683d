"""Callers that disconnect while their request waits: nothing more is sent for them, and what runs is cancelled.

The replicas here send nothing while their caller waits, and deadlines are long, so that only the
caller's disconnect can end a wait.
"""

import socket

import pytest

import tests.platform_site as platform_site
import tests.platform_stand_in as stand_in

DEADLINE_MS = 60_000  # a deadline that no test reaches
WAIT_S = 8.0  # limit of waits that the disconnect must end


@pytest.fixture(scope="module")
def site():
    created = platform_site.Site()
    yield created
    created.stop()


class Caller:
    """One request on its own connection, which the test closes."""

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
    return site.service(legs, deadline_ms=DEADLINE_MS, target_ms=DEADLINE_MS, **more)


def leave_during_silence(site, caller, replica):
    """Disconnect once the request is at the replica; return when the replica saw its connection closed."""
    platform_site.wait_until(lambda: replica.requests)
    caller.leave()
    platform_site.wait_until(lambda: replica.left == 1, WAIT_S)
    wait_until_ended(site)


def wait_until_ended(site):
    platform_site.wait_until(lambda: site.router.in_flight == 0, WAIT_S)


@pytest.mark.parametrize("surplus", [b"", b"POST /p/y HTTP/1.1\r\n"], ids=["closed", "closed after surplus bytes"])
def test_no_decode_is_sent_for_a_caller_that_left_during_the_prefill(site, surplus):
    host, (prefill_replica, decode_replica) = service(site, "pd")
    prefill_replica.always = {"silent": True}
    leave_during_silence(site, Caller(site, host, surplus=surplus), prefill_replica)
    assert platform_site.request_count([decode_replica]) == 0 and len(prefill_replica.requests) == 1


@pytest.mark.parametrize("resumable, tries", [(False, 1), (True, 2)], ids=["runs once", "may be taken up"])
def test_leaving_before_the_first_event_cancels_the_decode_and_no_other_is_sent(site, resumable, tries):
    host, (prefill_replica, *decode_replicas) = service(site, "pdd", resumable=resumable, tries=tries)
    for decode_replica in decode_replicas:
        decode_replica.always = {"silent": True}
    caller = Caller(site, host)
    platform_site.wait_until(lambda: platform_site.request_count(decode_replicas) == 1)
    caller.leave()
    platform_site.wait_until(lambda: sum(decode_replica.left for decode_replica in decode_replicas) == 1, WAIT_S)
    wait_until_ended(site)
    assert platform_site.request_count(decode_replicas) == 1
    platform_site.wait_until(lambda: prefill_replica.released, WAIT_S)  # the handle is released


@pytest.mark.parametrize("resumable", [False, True])
def test_leaving_between_two_events_cancels_the_run(site, resumable):
    host, (prefill_replica, *decode_replicas) = service(
        site, "pdd", resumable=resumable, tries=2, facts={"events": 3, "gap": DEADLINE_MS / 1000}
    )
    caller = Caller(site, host)
    assert caller.socket.recv(5)
    caller.leave()
    platform_site.wait_until(lambda: sum(decode_replica.left for decode_replica in decode_replicas) == 1, WAIT_S)
    wait_until_ended(site)
    assert platform_site.request_count(decode_replicas) == 1


def test_leaving_while_the_response_is_gathered_cancels_the_run(site):
    host, (decode_replica,) = service(site, "d", engine=False, kind="repeatable", facts={"events": 0})
    decode_replica.always = {"silent": True}
    leave_during_silence(site, Caller(site, host, prompt=False), decode_replica)


def test_a_caller_that_left_is_not_counted_as_a_failure_of_the_replica(site):
    host, (prefill_replica, decode_replica) = service(site, "pd")
    decode_replica.always = {"silent": True}
    leave_during_silence(site, Caller(site, host), decode_replica)
    assert (
        decode_replica.name not in site.router.replicas.consecutive_failures
        and decode_replica.name not in site.router.replicas.suspected_until
    )


def test_nothing_is_sent_for_a_caller_that_left_while_no_slot_was_free(site, monkeypatch):
    host, replicas = service(site, "pd")
    pair_calls = []
    pair = site.router.placement.reserve_pair

    def pair_after_caller_left(*args):
        if not pair_calls:
            pair_calls.append(True)
            caller.leave()
            return None
        return pair(*args)

    monkeypatch.setattr(site.router.placement, "reserve_pair", pair_after_caller_left)
    caller = Caller(site, host)
    platform_site.wait_until(lambda: pair_calls)
    wait_until_ended(site)
    assert platform_site.request_count(replicas) == 0
