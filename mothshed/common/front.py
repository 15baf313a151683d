"""HTTP fronts on cheroot: a WSGI server and the answers every front gives.

Answers are whole JSON with their length, or streams of events. A stream that
fails raises inside the server, which then closes the connection without the last
chunk: the user agent sees it broken.
"""

import json

import cheroot.wsgi

import mothshed.common.constants as constants
import mothshed.common.ring as ring

STATUS = {200: "OK", 202: "Accepted", 307: "Temporary Redirect", 400: "Bad Request", 403: "Forbidden",
          404: "Not Found", 405: "Method Not Allowed", 409: "Conflict", 411: "Length Required",
          413: "Content Too Large", 500: "Internal Server Error",
          502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout"}


def line(status):
    return f"{status} {STATUS[status]}"


def respond(start, status, body, headers=()):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    kind = "text/plain" if isinstance(body, bytes) else "application/json"
    start(line(status), [("Content-Type", kind), ("Content-Length", str(len(data))), *headers])
    return [data]


def fault(start, status, reason, verdict="not_run", retry=0, headers=(), **more):
    headers = list(headers) + ([("Retry-After", str(retry))] if retry else [])
    error = {"message": reason, "verdict": verdict, **more}
    return respond(start, status, {"error": error}, headers)


def headers_of(environ):
    return {k[5:].replace("_", "-").lower(): v for k, v in environ.items() if k.startswith("HTTP_")}


class TooLarge(Exception):
    """A request body over the limit."""


def body_of(environ):
    size = environ.get("CONTENT_LENGTH")
    if size:
        if int(size) > constants.BODY_MOST:
            raise TooLarge()
        return environ["wsgi.input"].read(int(size))
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() != "chunked":
        return b""
    data = environ["wsgi.input"].read(constants.BODY_MOST + 1)
    if len(data) > constants.BODY_MOST:
        raise TooLarge()
    return data


class Server(cheroot.wsgi.Server):
    """A cheroot server that keeps its troubles in the ring."""

    def __init__(self, address, app, threads):
        host, port = address.rsplit(":", 1)
        super().__init__((host, int(port)), app, numthreads=threads, request_queue_size=256, timeout=20,
                         shutdown_timeout=1)

    def error_log(self, msg="", level=20, traceback=False):
        ring.note("http_server", message=msg)
