"""The simulated network: records and HTTP between machines, with partitions.

Records are packed and unpacked as on a real connection and stay in order between two machines. HTTP requests run
the real WSGI fronts. A cut is one-way between two machines; what is sent across it is lost. A dead machine refuses
connections; a frozen one accepts them and does not respond, like a stopped process.
"""

import io
import json

import mothshed.constants as constants
import mothshed.http.http_client as http_client
import mothshed.transport.records as records
import tools.simulator.http_exchange as http_exchange

MIN_DELAY_S, DELAY_SPREAD_S = 0.0003, 0.0012  # s; minimum and random part of the delay in a local network


class Network:
    def __init__(self, loop):
        self.loop = loop
        self.machines = {}  # address -> Machine
        self.handlers = {}  # address -> {(kind, part): call}
        self.apps = {}  # HTTP address -> (Machine, WSGI app)
        self.cuts = set()  # (from name, to name)
        self.last_delivery = {}  # (from, to) -> time of the latest delivery
        self.codecs = {}  # machine -> records.Codec, for machines of another release
        self.count = self.unknown_records = 0  # records sent; received records of an unknown kind
        self.before_connect = lambda machine, path: None  # called before each connection attempt
        self.before_send = lambda machine, path: None  # called between the last check and the write of a request

    def cut(self, one, other, both=True):
        self.cuts |= {(one, other), (other, one)} if both else {(one, other)}
        for machine in self.machines.values():
            if machine.name in (one, other):
                machine.mark_faulty()

    def split(self, some, rest):
        for a in some:
            for b in rest:
                self.cut(a, b)

    def heal(self):
        for machine in self.machines.values():
            if any(machine.name in pair for pair in self.cuts):
                machine.end_faults()
        self.cuts.clear()

    def is_reachable(self, one, other):
        return one is other or (one.name, other.name) not in self.cuts

    def delay(self, one, other):
        due = max(self.loop.time, one.frozen_until) + MIN_DELAY_S + self.loop.random.random() * DELAY_SPREAD_S
        due = max(due, self.last_delivery.get((one.name, other.name), 0.0) + 1e-6)
        self.last_delivery[(one.name, other.name)] = due
        return due - self.loop.time

    def codec_of(self, machine):
        return self.codecs.get(machine.name, records.CODEC)

    def send(self, machine, sender, destination, kind, body):
        codec = self.codec_of(machine)
        codec.check_fields(kind, body)  # rejects fields that the record cannot carry
        data = codec.pack(kind, body)
        other = self.machines.get(destination)
        if other is None or not machine.alive or not self.is_reachable(machine, other):
            return
        self.count += 1

        def arrive():
            if not self.is_reachable(machine, other):
                return
            record = self.codec_of(other).unpack(data)
            if not record.kind:
                self.unknown_records += 1
            handlers = self.handlers.get(destination, {})
            call = handlers.get((record.kind, record.body.get("part"))) or handlers.get((record.kind, None))
            if call:
                call(sender, record.body)

        self.loop.at(self.delay(machine, other), other, arrive)


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
        cancellation=None,  # unused: disconnects of callers are not simulated
        on_silence=None,
    ):
        net, loop, client = self.net, self.net.loop, self.machine
        address, path = url.removeprefix("http://").split("/", 1)
        found = net.apps.get(address)
        other = found[0] if found else None
        if other and not (net.is_reachable(client, other) and net.is_reachable(other, client)):
            loop.sleep(client, connect)
            raise http_client.ExchangeError("ConnectTimeoutError", False)
        net.before_connect(client, path)
        loop.sleep(client, MIN_DELAY_S + loop.random.random() * DELAY_SPREAD_S)
        found = net.apps.get(address)
        if not found or not found[0].alive:
            raise http_client.ExchangeError("NewConnectionError", False)
        if not ready():
            raise http_client.ExchangeError(http_client.NOT_READY, False)
        self.net.before_send(client, path)
        other, app = found
        channel, event = http_exchange.Channel(net, client, other), self.new_event()
        channel.on_piece = event.set
        data = b"" if body is None else json.dumps(body).encode()
        path_info, _, query = path.partition("?")
        environ = {
            "PATH_INFO": "/" + path_info,
            "QUERY_STRING": query,
            "REQUEST_METHOD": method,
            "CONTENT_LENGTH": str(len(data)),
            "wsgi.input": io.BytesIO(data),
            "REMOTE_ADDR": client.name,
        }
        for name, text in (headers or {}).items():
            environ["HTTP_" + name.upper().replace("-", "_")] = text
        if net.is_reachable(client, other):
            loop.at(
                net.delay(client, other), other, lambda: loop.spawn(other, lambda: self.serve(app, environ, channel))
            )
            other.on_kill.append(channel.reset)
            if len(other.on_kill) > 4000:
                other.on_kill = [c for c in other.on_kill if not getattr(c, "__self__", None) or not c.__self__.closed]
        else:
            channel.has_lost_piece = True
        response = http_exchange.SimResponse(channel, event, 0, http_exchange.Headers(), read, on_silence)
        kind, data = response.pull()
        status, fields = data
        fields = http_exchange.Headers({k.lower(): v for k, v in fields})
        return http_exchange.SimResponse(channel, event, int(status.split()[0]), fields, read, on_silence)

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
        except Exception:  # a server that fails closes the connection early
            channel.reset()
        finally:
            if hasattr(rows, "close"):
                rows.close()

    def poll(self, method, url, body=None, headers=None, read=constants.PROBE_TIMEOUT_S):
        response = self.send(method, url, body, headers, read=read)
        return response.status, response.body()
