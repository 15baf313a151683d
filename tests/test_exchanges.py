"""Exchanges with replicas: what belongs to another one, or proves nothing, is never believed."""

import pytest

import mothshed.http.kept as kept
import mothshed.http.web as web
import tests.bare_http as bare_http
import tests.platform_site as platform_site

PLAIN = {"events": 0}


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


class Scripted(bare_http.Listener):
    """Sends the next of its replies to each request; keeps its connections."""

    def __init__(self, *replies):
        self.replies, self.asked = list(replies), []
        super().__init__()

    def answer(self, conn, request):
        self.asked.append(request)
        conn.sendall(self.replies.pop(0))
        return True


@pytest.fixture
def serve():
    made = []

    def make(*replies):
        made.append(Scripted(*replies))
        return made[-1]

    yield make
    for server in made:
        server.stop()


def ask(idle, server, name=None):
    return idle.exchange("POST", server.address, "/x", {}, b"body", 2.0, name=name)


ONE, TWO = bare_http.whole(200, [], b"one"), bare_http.whole(200, [], b"two")
CHUNKED = bare_http.head(200, [("Transfer-Encoding", "chunked")])


@pytest.mark.parametrize("first", [ONE, CHUNKED + bare_http.chunk(b"one") + b"0\r\n\r\n"], ids=["length", "chunks"])
@pytest.mark.parametrize("surplus", [b"H", ONE, b"\r\n"], ids=repr)
def test_bytes_after_a_whole_answer_end_its_connection(serve, first, surplus):
    """Even those that came with it, and would be lost with the reader's buffer."""
    idle, server = kept.Kept(lambda: 0.0), serve(first + surplus, TWO)
    assert ask(idle, server).all() == b"one"
    assert idle.idle.get(server.address, []) == []
    assert ask(idle, server).all() == b"two" and [r.conn for r in server.asked] == [1, 2]


def test_two_sends_under_one_name_never_share_a_connection(serve):
    idle, server = kept.Kept(lambda: 0.0), serve(ONE, TWO, ONE, TWO)
    for name in ("a", "a", "b", "a"):
        ask(idle, server, name).all()
    assert [r.conn for r in server.asked] == [1, 2, 2, 3] and idle.reused == 1


def test_a_doubled_refusal_is_not_taken_for_the_answer_to_the_next_send_of_one_request(site):
    """Its id is the same; the second send runs, and its run must not be denied."""
    host, (replica,) = site.service("d", engine=False, kind="once_only", tries=2, facts=PLAIN)
    first_one = []

    def take(conn, request, fault, taken=replica.take):
        own = request.get("Try-Id")
        refusal = bare_http.whole(503, [("Try-Id", own), ("Not-Run", "1")])
        if not first_one:
            first_one.append((conn, request.conn))
            conn.sendall(refusal)
            return True
        late = first_one[0][0]
        late.sendall(refusal)  # now, while the second send is at work
        return taken(conn, request, fault)

    replica.take = take
    own, answer = site.ask(host, prompt=False)
    assert len(site.platform.ran(own)) == 1 and answer.status == 200 and answer.body == b"said"
    assert replica.asked[0].conn != replica.asked[1].conn


@pytest.mark.parametrize(
    "head",
    [
        [("Content-Length", 3), ("Content-Length", 5)],
        [("Content-Length", 3), ("Transfer-Encoding", "chunked")],
        [("Content-Length", "3, 5")],
        [("Content-Length", "+3")],
        [("Content-Length", "-3")],
        [("Transfer-Encoding", "gzip, chunked")],
        [("Transfer-Encoding", "chunked"), ("Transfer-Encoding", "chunked")],
    ],
    ids=repr,
)
def test_a_reply_that_could_be_framed_in_two_ways_is_a_fault(serve, head):
    idle, server = kept.Kept(lambda: 0.0), serve(bare_http.head(200, head) + b"3\r\nabc\r\n0\r\n\r\n", TWO)
    with pytest.raises(web.WebFault) as fault:
        ask(idle, server).all()
    assert fault.value.sent and ask(idle, server).all() == b"two" and [r.conn for r in server.asked] == [1, 2]


def test_a_status_that_is_not_final_is_no_answer(serve):
    idle, server = kept.Kept(lambda: 0.0), serve(b"HTTP/1.1 102 Processing\r\n\r\n" + ONE)
    with pytest.raises(web.WebFault):
        ask(idle, server)


@pytest.mark.parametrize(
    "data",
    [
        b"0x3\r\nabc\r\n0\r\n\r\n",
        b"+3\r\nabc\r\n0\r\n\r\n",
        b"3\r\nabcXY0\r\n\r\n",
        b"-3\r\nabc\r\n0\r\n\r\n",
        b"3\nabc\r\n0\r\n\r\n",
    ],
    ids=repr,
)
def test_a_reply_with_doubtful_chunks_is_a_fault(serve, data):
    idle, server = kept.Kept(lambda: 0.0), serve(CHUNKED + data, TWO)
    with pytest.raises(web.WebFault) as fault:
        ask(idle, server).all()
    assert fault.value.sent and ask(idle, server).all() == b"two" and [r.conn for r in server.asked] == [1, 2]


@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize("kind", ["once_only", "repeatable", "stream"])
def test_a_replicas_refusal_without_proof_is_not_passed_on_as_a_promise(site, status, kind):
    host, replicas = site.service("dd", engine=False, kind=kind, tries=2, facts=PLAIN)
    for replica in replicas:
        replica.always = {"own": status}
    own, answer = site.ask(host, prompt=False)
    assert answer.status in (502, 504) and b"may_have_run" in answer.body and "Postmark" not in answer.headers
    assert len(site.platform.ran(own)) == (2 if kind == "repeatable" else 1)


def test_a_send_whose_connection_comes_after_the_callers_time_is_not_written(site, monkeypatch):
    """As after a freeze of this process between the planning and the write."""
    host, (replica,) = site.service("d", engine=False, kind="once_only", deadline_ms=300, facts=PLAIN)
    connect, now = site.environment.kept.connect, site.environment.now

    def late(address):
        conn = connect(address)
        monkeypatch.setattr(site.environment, "now", lambda: now() + 1.0)
        return conn

    monkeypatch.setattr(site.environment.kept, "connect", late)
    own, answer = site.ask(host, prompt=False)
    assert answer.status == 503 and b"not_run" in answer.body and replica.asked == []
