"""A replica that starts to leave during a prefill gets no send that was planned before."""

import pytest

import tests.platform_site as platform_site


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


def leave_during_prefill(site, reader, leaver):
    """Show a replica as leaving, and let the router notice, before the prefill replica's answer is sent."""
    take = reader.take

    def taken(conn, request, fault):
        leaver.facts["condition"] = "winding_down"
        platform_site.wait_until(lambda: leaver.name in site.router.replicas.leaving())
        return take(conn, request, fault)

    reader.take = taken


def test_the_handle_goes_to_another_decode_replica_without_a_second_prefill(site):
    host, (reader, *writers) = site.service("pdd")
    taken = []
    choose = site.router.placement.choose_decode
    leave_during_prefill(site, reader, writers[0])
    site.router.placement.choose_decode = lambda names, cell: (
        taken.append(names) or (writers[0].name if len(taken) == 1 else choose(names, cell))
    )
    try:
        own, answer = site.ask(host)
    finally:
        site.router.placement.choose_decode = choose
    assert (answer.status, answer.body) == (200, platform_site.event_bytes())
    assert [len(replica.requests) for replica in (reader, *writers)] == [1, 0, 1]
    assert writers[1].requests[0].get("Cache-From") and len(taken) == 2
    platform_site.wait_until(lambda: not any(site.router.replicas.own_requests.values()))


def test_without_another_decode_replica_the_request_is_rejected_and_its_handle_released(site):
    host, (reader, writer) = site.service("pd")
    leave_during_prefill(site, reader, writer)
    own, answer = site.ask(host)
    assert answer.status == 503 and writer.requests == [] and site.platform.ran(own) == []
    platform_site.wait_until(lambda: reader.held == {} and not any(site.router.replicas.own_requests.values()))
