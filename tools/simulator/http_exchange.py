"""One simulated HTTP exchange: the pieces of its response on their way, and the client's view of them."""

import json

import mothshed.http.http_client as http_client


class Channel:
    """One HTTP exchange: the pieces of the response on their way to the client."""

    def __init__(self, net, client, server):
        self.net, self.client, self.server = net, client, server
        self.pieces, self.on_piece = [], None
        self.closed = False
        self.has_lost_piece = False  # in a cut

    def is_cut(self):
        """Return whether the connection is lost: it is cut now, or a cut has lost something of it."""
        one, other = self.client, self.server
        return self.has_lost_piece or not (self.net.is_reachable(one, other) and self.net.is_reachable(other, one))

    def push(self, piece):
        """Send a piece from the server; fails like a socket if the client has closed the connection."""
        if self.closed:
            raise BrokenPipeError("client closed the connection")
        if not self.net.is_reachable(self.server, self.client):
            self.has_lost_piece = True
            return

        def arrive():
            self.pieces.append(piece)
            if self.on_piece:
                self.on_piece()

        self.net.loop.at(self.net.delay(self.server, self.client), self.client, arrive)

    def reset(self):
        """Reset the connection from the server's side."""
        if not self.closed:
            self.push(("reset", None))


class SimResponse:
    """A response. on_silence: called after each `read` seconds without data, as in HttpClient.send."""

    def __init__(self, channel, event, status, headers, read, on_silence=None):
        self.channel, self.event, self.read, self.on_silence = channel, event, read, on_silence
        self.status, self.headers = status, headers
        self.size = int(headers["content-length"]) if "content-length" in headers else None

    def pull(self):
        """Return the next piece, (kind, data); raises ExchangeError."""
        while not self.channel.pieces:
            self.event.clear()
            if not self.event.wait(self.read):
                self.read = self.next_read_timeout()
        kind, data = self.channel.pieces.pop(0)
        if kind == "reset":
            raise http_client.ExchangeError("ProtocolError: reset", True)
        return kind, data

    def next_read_timeout(self):
        """Return the timeout with which a silent read goes on; raises ExchangeError if it ends."""
        if not self.on_silence or self.channel.is_cut():  # the probes of a real connection end it after a cut
            raise http_client.ExchangeError("ReadTimeoutError", True)
        try:
            return self.on_silence(None)
        except TimeoutError as e:
            raise http_client.ExchangeError(f"ReadTimeoutError: {e}", True) from e

    def bytes(self):
        """Yield the body as it arrives; raises ExchangeError."""
        received = 0
        while True:
            kind, data = self.pull()
            if kind == "end":
                if self.size is not None and received != self.size:
                    raise http_client.ExchangeError("IncompleteRead", True)
                return
            received += len(data)
            yield data

    def body(self):
        """Return the whole body as parsed JSON; raises ExchangeError."""
        try:
            return json.loads(b"".join(self.bytes()))
        except ValueError as e:
            raise http_client.ExchangeError(f"body: {e}", True) from e
        finally:
            self.close()

    def lines(self):
        """Yield whole lines as they arrive; raises ExchangeError."""
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
        """Close the connection from the client's side."""
        self.channel.closed = True


class Headers(dict):
    """Response headers by lower-case name."""

    def get(self, name, default=None):
        """Return a field by its name in any case."""
        return super().get(name.lower(), default)
