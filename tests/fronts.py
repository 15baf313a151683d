"""Calls a WSGI front as a server would: (status, headers, body)."""

import io
import json


def call(app, method, path, body=b"", headers=()):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    environ = {
        "PATH_INFO": path,
        "REQUEST_METHOD": method,
        "CONTENT_LENGTH": str(len(data)),
        "wsgi.input": io.BytesIO(data),
    }
    environ.update({"HTTP_" + k.upper().replace("-", "_"): v for k, v in dict(headers).items()})
    said = {}

    def start(status, fields):
        said.update(status=int(status.split()[0]), headers={k.lower(): v for k, v in fields})

    rows = app(environ, start)
    text = b"".join(rows)
    if hasattr(rows, "close"):
        rows.close()
    return (
        said["status"],
        said["headers"],
        json.loads(text) if said["headers"]["content-type"] == "application/json" else text,
    )
