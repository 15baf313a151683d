"""The simulated network: records and HTTP between machines, with cuts.

Records are packed and unpacked as on a real wire and keep their order per pair
of machines. HTTP calls run the real WSGI fronts. A cut is one-way between two
machines; what is sent across one is lost. A dead machine refuses connections, a
frozen one accepts them and says nothing, as a stopped process does.
"""

import io
import json

import mothshed.constants as constants
import mothshed.http.http_client as http_client
import mothshed.transport.records as records

LOW, SPAN = 0.0003, 0.0012  # s; a local network's delay


class Network:
    def __init__(self, loop):
        self.loop = loop
        self.machines = {}  # address -> Machine
        self.ears = {}  # address -> {(kind, part): call}
        self.apps = {}  # HTTP address -> (Machine, WSGI app)
        self.cuts = set()  # (from name, to name)
        self.last = {}  # (from, to) -> time of the latest delivery
        self.codecs = {}  # machine -> records.Codec, where it runs another release than the others
        self.count = self.passed_over = 0  # records sent; of a kind that their reader did not know
        self.watch = lambda machine, path: None  # told of each connection about to be made
        self.written = lambda machine, path: None  # and of each send past its last check

    def cut(self, one, other, both=True):
        self.cuts |= {(one, other), (other, one)} if both else {(one, other)}
        for machine in self.machines.values():
            if machine.name in (one, other):
                machine.hit()

    def split(self, some, rest):
        for a in some:
            for b in rest:
                self.cut(a, b)

    def heal(self):
        for machine in self.machines.values():
            if any(machine.name in pair for pair in self.cuts):
                machine.mend()
        self.cuts.clear()

    def open(self, one, other):
        return one is other or (one.name, other.name) not in self.cuts

    def delay(self, one, other):
        due = max(self.loop.time, one.frozen_until) + LOW + self.loop.random.random() * SPAN
        due = max(due, self.last.get((one.name, other.name), 0.0) + 1e-6)
        self.last[(one.name, other.name)] = due
        return due - self.loop.time

    def codec_of(self, machine):
        return self.codecs.get(machine.name, records.CODEC)

    def send(self, machine, sender, goal, kind, body):
        codec = self.codec_of(machine)
        codec.check_fields(kind, body)  # what a record does not carry would be lost on the way
        data = codec.pack(kind, body)
        other = self.machines.get(goal)
        if other is None or not machine.alive or not self.open(machine, other):
            return
        self.count += 1

        def arrive():
            if not self.open(machine, other):
                return
            record = self.codec_of(other).unpack(data)
            if not record.kind:
                self.passed_over += 1
            ears = self.ears.get(goal, {})
            call = ears.get((record.kind, record.body.get("part"))) or ears.get((record.kind, None))
            if call:
                call(sender, record.body)

        self.loop.at(self.delay(machine, other), other, arrive)


class Channel:
    """One HTTP exchange: pieces on their way to the asker."""

    def __init__(self, net, asker, server):
        self.net, self.asker, self.server = net, asker, server
        self.pieces, self.on_piece = [], None
        self.closed = False

    def push(self, piece):
        """From the server's side; an asker that hung up makes it fail, as a socket would."""
        if self.closed:
            raise BrokenPipeError("asker hung up")
        if not self.net.open(self.server, self.asker):
            return

        def arrive():
            self.pieces.append(piece)
            if self.on_piece:
                self.on_piece()

        self.net.loop.at(self.net.delay(self.server, self.asker), self.asker, arrive)

    def reset(self):
        if not self.closed:
            self.push(("reset", None))


class SimResponse:
    def __init__(self, channel, event, status, headers, read):
        self.channel, self.event, self.read = channel, event, read
        self.status, self.headers = status, headers
        self.size = int(headers["content-length"]) if "content-length" in headers else None

    def pull(self):
        if not self.channel.pieces:
            self.event.clear()
            if not self.event.wait(self.read):
                raise http_client.ExchangeError("ReadTimeoutError", True)
        kind, data = self.channel.pieces.pop(0)
        if kind == "reset":
            raise http_client.ExchangeError("ProtocolError: reset", True)
        return kind, data

    def bytes(self):
        got = 0
        while True:
            kind, data = self.pull()
            if kind == "end":
                if self.size is not None and got != self.size:
                    raise http_client.ExchangeError("IncompleteRead", True)
                return
            got += len(data)
            yield data

    def body(self):
        try:
            return json.loads(b"".join(self.bytes()))
        except ValueError as e:
            raise http_client.ExchangeError(f"body: {e}", True) from e
        finally:
            self.close()

    def lines(self):
        rest = b""
        try:
            for piece in self.bytes():
                rest += piece
                *whole, rest = rest.split(b"\n")
                yield from whole
            if rest:
                raise http_client.ExchangeError("stream ends within a line", True)
        finally:
            self.close()

    def close(self):
        self.channel.closed = True


class Head(dict):
    """Response headers by lower-case name."""

    def get(self, name, default=None):
        return super().get(name.lower(), default)


class SimWeb:
    def __init__(self, net, machine, new_event):
        self.net, self.machine, self.new_event = net, machine, new_event

    def send(
        self,
        method,
        url,
        body=None,
        headers=None,
        connect=constants.CONNECT_TIMEOUT_S,
        read=constants.STREAM_IDLE_TIMEOUT_S,
        ready=lambda: True,
        cancellation=None,  # callers of a simulated router are not watched
    ):
        net, loop, own = self.net, self.net.loop, self.machine
        address, path = url.removeprefix("http://").split("/", 1)
        found = net.apps.get(address)
        other = found[0] if found else None
        if other and not (net.open(own, other) and net.open(other, own)):
            loop.sleep(own, connect)
            raise http_client.ExchangeError("ConnectTimeoutError", False)
        net.watch(own, path)
        loop.sleep(own, LOW + loop.random.random() * SPAN)
        found = net.apps.get(address)
        if not found or not found[0].alive:
            raise http_client.ExchangeError("NewConnectionError", False)
        if not ready():
            raise http_client.ExchangeError(http_client.NOT_READY, False)
        self.net.written(own, path)
        other, app = found
        channel, event = Channel(net, own, other), self.new_event()
        channel.on_piece = event.set
        data = b"" if body is None else json.dumps(body).encode()
        place, _, query = path.partition("?")
        environ = {
            "PATH_INFO": "/" + place,
            "QUERY_STRING": query,
            "REQUEST_METHOD": method,
            "CONTENT_LENGTH": str(len(data)),
            "wsgi.input": io.BytesIO(data),
            "REMOTE_ADDR": own.name,
        }
        for name, text in (headers or {}).items():
            environ["HTTP_" + name.upper().replace("-", "_")] = text
        if net.open(own, other):
            loop.at(net.delay(own, other), other, lambda: loop.spawn(other, lambda: self.serve(app, environ, channel)))
            other.on_death.append(channel.reset)
            if len(other.on_death) > 4000:
                other.on_death = [
                    c for c in other.on_death if not getattr(c, "__self__", None) or not c.__self__.closed
                ]
        response = SimResponse(channel, event, 0, Head(), read)
        kind, data = response.pull()
        status, fields = data
        fields = Head({k.lower(): v for k, v in fields})
        return SimResponse(channel, event, int(status.split()[0]), fields, read)

    def serve(self, app, environ, channel):
        def start(status, headers):
            channel.push(("head", (status, headers)))

        rows = None
        try:
            rows = app(environ, start)
            for piece in rows:
                channel.push(("data", piece))
            channel.push(("end", None))
        except BrokenPipeError:
            pass
        except Exception:  # a server closes the connection without the end
            channel.reset()
        finally:
            if hasattr(rows, "close"):
                rows.close()

    def poll(self, method, url, body=None, headers=None, read=constants.PROBE_TIMEOUT_S):
        response = self.send(method, url, body, headers, read=read)
        return response.status, response.body()
