"""A replica that begins to leave while a prompt is being read gets no send that was planned before."""

import pytest

import tests.platform_site as platform_site


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


def leave_during_prefill(site, reader, leaver):
    """The leaver is shown as leaving, and known to be, before the reader's answer goes out."""
    take = reader.take

    def taken(conn, request, fault):
        leaver.facts["condition"] = "winding_down"
        platform_site.until(lambda: leaver.name in site.router.replicas.leaving())
        return take(conn, request, fault)

    reader.take = taken


def test_the_handle_goes_to_another_writer_and_its_prompt_is_not_read_again(site):
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
    assert (answer.status, answer.body) == (200, platform_site.pieces())
    assert [len(replica.asked) for replica in (reader, *writers)] == [1, 0, 1]
    assert writers[1].asked[0].get("Cache-From") and len(taken) == 2
    platform_site.until(lambda: not any(site.router.replicas.own_requests.values()))


def test_with_no_other_writer_the_request_is_refused_and_its_handle_freed(site):
    host, (reader, writer) = site.service("pd")
    leave_during_prefill(site, reader, writer)
    own, answer = site.ask(host)
    assert answer.status == 503 and writer.asked == [] and site.platform.ran(own) == []
    platform_site.until(lambda: reader.held == {} and not any(site.router.replicas.own_requests.values()))
