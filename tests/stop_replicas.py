"""Stand-in replicas that record until when they worked on a request, and may rest once, for tests of stops."""

import dataclasses
import socket
import time
import typing

import tests.bare_http as bare_http
import tests.platform_stand_in as stand_in

SERVICE = "one"
GAP_S = 0.06  # between two events


@dataclasses.dataclass
class Work:
    """One run of a request at a replica. Times are seconds of the steady clock."""

    request_id: str
    until: float  # when its last event was sent, or when its connection was closed
    is_finished: bool


class Replica(stand_in.Replica):
    """A sound replica whose streams have as many events as the request allows tokens; it may rest once."""

    def __init__(self, platform: stand_in.Platform, leg: str) -> None:
        self.work: list[Work] = []
        self.rests_from, self.rest_s = float("inf"), 0.0
        super().__init__(platform, SERVICE, leg, berths=64, gap=GAP_S)

    def pause_s(self) -> float:
        """Return how long the next event takes, in seconds."""
        now = time.monotonic()
        end = self.rests_from + self.rest_s
        return end - now if self.rests_from <= now < end else GAP_S

    def stream(self, conn: socket.socket, request: typing.Any, fault: typing.Any, headers: typing.Any, after: int):
        """Send the events after one of them; return whether the connection can be used again."""
        last = int(request.get("Tokens").split(",")[1])
        work = Work(request.get("Try-Id"), time.monotonic(), False)
        self.work.append(work)
        try:
            more = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
            conn.sendall(bare_http.head(200, [*headers, *more]))
            for number in range(after + 1, last + 1):
                if self.is_closed_within(conn, self.pause_s()):
                    return False
                conn.sendall(bare_http.chunk(stand_in.event(number, last)))
            conn.sendall(b"0\r\n\r\n")
            work.is_finished = True
        except OSError:
            return False
        finally:
            work.until = time.monotonic()
        return True

    def is_closed_within(self, conn: socket.socket, duration_s: float) -> bool:
        """Wait; return whether the router closed the connection meanwhile."""
        conn.settimeout(max(duration_s, 0.001))
        try:
            conn.recv(1, socket.MSG_PEEK)
            return True
        except TimeoutError:
            return False
        finally:
            conn.settimeout(None)
