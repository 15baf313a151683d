"""Minimal HTTP on plain sockets, for stand-ins that must also be able to send malformed messages."""

import dataclasses
import os
import socket
import threading


@dataclasses.dataclass
class Request:
    method: str
    target: str
    headers: list  # (name, value) as received
    body: bytes
    conn: int  # number of its connection

    def get(self, name, default=""):
        return next((v for k, v in self.headers if k.lower() == name.lower()), default)

    def all(self, name):
        return [v for k, v in self.headers if k.lower() == name.lower()]


def read_chunked(file):
    data = b""
    while size := int(file.readline().partition(b";")[0], 16):
        data += file.read(size)
        file.readline()
    while file.readline().strip():
        pass
    return data


def read_request(file, number):
    """Read the next request of a connection; None at its end."""
    line = file.readline()
    if not line.strip():
        return None
    method, target, version = line.decode("latin-1").split()
    headers = []
    while line := file.readline().strip():
        name, colon, value = line.decode("latin-1").partition(":")
        headers.append((name, value.strip()))
    request = Request(method, target, headers, b"", number)
    if request.get("Transfer-Encoding").lower() == "chunked":
        request.body = read_chunked(file)
    else:
        request.body = file.read(int(request.get("Content-Length", "0")))
    return request


def head(status, headers):
    lines = [f"HTTP/1.1 {status} Said", *(f"{k}: {v}" for k, v in headers), "", ""]
    return "\r\n".join(lines).encode("latin-1")


def response_bytes(status, headers, body=b""):
    return head(status, [*headers, ("Content-Length", len(body))]) + body


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


OWN_HOST = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}.250"  # no other test process uses its ports


class Listener:
    """Accepts connections and serves the requests of each in turn."""

    def __init__(self):
        self.server = socket.create_server((OWN_HOST, 0), backlog=64)
        self.address = f"{OWN_HOST}:{self.server.getsockname()[1]}"
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
            with conn, conn.makefile("rb") as file:
                while request := read_request(file, number):
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
