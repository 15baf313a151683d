"""Bare HTTP over plain sockets, for stand-ins that must be able to do it wrong."""

import dataclasses
import socket
import threading


@dataclasses.dataclass
class Request:
    method: str
    target: str
    headers: list  # (name, value) as they came
    body: bytes
    conn: int  # number of its connection

    def get(self, name, default=""):
        return next((v for k, v in self.headers if k.lower() == name.lower()), default)

    def all(self, name):
        return [v for k, v in self.headers if k.lower() == name.lower()]


def chunks(f):
    data = b""
    while size := int(f.readline().partition(b";")[0], 16):
        data += f.read(size)
        f.readline()
    while f.readline().strip():
        pass
    return data


def read_request(f, number):
    """The next request on a connection, or None at its end."""
    row = f.readline()
    if not row.strip():
        return None
    method, target, version = row.decode("latin-1").split()
    headers = []
    while row := f.readline().strip():
        name, colon, value = row.decode("latin-1").partition(":")
        headers.append((name, value.strip()))
    request = Request(method, target, headers, b"", number)
    if request.get("Transfer-Encoding").lower() == "chunked":
        request.body = chunks(f)
    else:
        request.body = f.read(int(request.get("Content-Length", "0")))
    return request


def head(status, headers):
    rows = [f"HTTP/1.1 {status} Said", *(f"{k}: {v}" for k, v in headers), "", ""]
    return "\r\n".join(rows).encode("latin-1")


def whole(status, headers, body=b""):
    return head(status, [*headers, ("Content-Length", len(body))]) + body


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Listener:
    """Takes connections and serves one request after another on each."""

    def __init__(self):
        self.server = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"
        self.conns = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                conn = self.server.accept()[0]
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.conns.append(conn)
            threading.Thread(target=self.serve, args=(conn, len(self.conns)), daemon=True).start()

    def serve(self, conn, number):
        try:
            with conn, conn.makefile("rb") as f:
                while request := read_request(f, number):
                    if not self.answer(conn, request):
                        break
                conn.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def stop(self):
        for sock in (self.server, *self.conns):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()
