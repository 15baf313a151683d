"""Calls a WSGI application in process and returns (status, headers, body); a JSON body is decoded."""

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
    response = {}

    def start_response(status, header_rows):
        response.update(status=int(status.split()[0]), headers={k.lower(): v for k, v in header_rows})

    chunks = app(environ, start_response)
    content = b"".join(chunks)
    if hasattr(chunks, "close"):
        chunks.close()
    return (
        response["status"],
        response["headers"],
        json.loads(content) if response["headers"]["content-type"] == "application/json" else content,
    )
