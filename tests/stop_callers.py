"""Clients that keep their connection, and open it anew when it is closed, until their router's process is gone."""

import dataclasses
import http.client
import itertools
import random
import socket
import threading
import time

import tests.stop_fleet as stop_fleet

LENGTHS = (24, 70, 170)  # events of a stream
DEADLINE_S = 20.0
CALLERS = 8  # of a router, in the tests of single stops
RECONNECT_INTERVAL_S = 0.05
NUMBERS = itertools.count(1)


@dataclasses.dataclass
class Attempt:
    """What a client saw of one request. Times are seconds of the steady clock."""

    request_id: str
    node: str
    events: int
    sent_at: float
    status: int = 0  # 0: no head has come
    is_complete: bool = False
    was_reset: bool = False  # the connection ended with a reset, as it does where bytes were left unread
    received: int = 0  # events
    ended_at: float = 0.0


class Caller(threading.Thread):
    """Sends streams one after the other to one router."""

    def __init__(self, node: stop_fleet.Node, port: int, seed: str, lengths: tuple[int, ...] = LENGTHS) -> None:
        super().__init__(daemon=True)
        self.node, self.address, self.lengths = node, (node.host, port), lengths
        self.random = random.Random(seed)
        self.attempts: list[Attempt] = []
        self.connection: socket.socket | None = None
        self.ended = threading.Event()

    def run(self) -> None:
        """Send requests until the end is set."""
        while not self.ended.is_set():
            try:
                if self.connection is None:
                    self.connection = socket.create_connection(self.address, timeout=DEADLINE_S + 5)
            except OSError:
                time.sleep(RECONNECT_INTERVAL_S)
                continue
            attempt = self.send()
            if attempt.status != 200:
                time.sleep(RECONNECT_INTERVAL_S)

    def send(self) -> Attempt:
        """Send one request and read its response."""
        conn = self.connection
        assert conn is not None
        events = self.random.choice(self.lengths)
        attempt = Attempt(f"t{next(NUMBERS):08x}", self.node.name, events, time.monotonic())
        self.attempts.append(attempt)
        lines = ["POST /p/x HTTP/1.1", f"Host: {stop_fleet.HOST}", f"Try-Id: {attempt.request_id}", "Model: m"]
        lines += [f"Tokens: 3000,{events}", f"Prompt-Prefix: 5c1e:2000,{self.random.getrandbits(32):x}:1000"]
        lines += [f"Time-Left: {int(DEADLINE_S * 1000)}", "Content-Length: 6", "", "prompt"]
        keeps = False
        try:
            conn.sendall("\r\n".join(lines).encode())
            keeps = self.read(conn, attempt)
        except ConnectionResetError:
            attempt.was_reset = True
        except (OSError, http.client.HTTPException):
            pass
        attempt.ended_at = time.monotonic()
        if not keeps:
            conn.close()
            self.connection = None
        return attempt

    def read(self, conn: socket.socket, attempt: Attempt) -> bool:
        """Read a response; return whether the connection can be used again."""
        response = http.client.HTTPResponse(conn, method="POST")
        response.begin()
        attempt.status = response.status
        try:
            body = response.read()
            attempt.is_complete = True
        except http.client.IncompleteRead as error:
            body = error.partial
        attempt.received = body.count(b"\n\n")
        if attempt.status == 200 and attempt.is_complete and attempt.received != attempt.events:
            raise AssertionError(f"{attempt.request_id}: complete with {attempt.received} of {attempt.events} events")
        return attempt.is_complete and not response.will_close
