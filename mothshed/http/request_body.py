"""Reads the body of a request, by its length or its chunks, up to a limit."""

import mothshed.constants as constants
import mothshed.http.chunked as chunked
import mothshed.http.gateway as gateway

Environ = gateway.Environ


class BodyError(Exception):
    """A request body that is rejected; the connection is closed after the response."""

    status, reason = 400, "the body is shorter than its length says"


class FramingError(BodyError):
    """A chunked body with malformed chunks."""

    reason = "the body's chunks are malformed"


class BodyTooLargeError(BodyError):
    """A request body above the size limit."""

    status, reason = 413, "the body is too long"


def read_body(environ: Environ, limit: int = constants.MAX_BODY_BYTES) -> bytes:
    """Read the whole body, up to limit bytes; raises BodyError."""
    data = read_body_bytes(environ, limit)
    if "mothshed.caller" in environ:
        environ["mothshed.caller"].end_reading()
    return data


def read_body_bytes(environ: Environ, limit: int) -> bytes:
    """Read the whole body by its length or its chunks; raises BodyError."""
    size = environ.get("CONTENT_LENGTH")
    if size:
        if int(size) > limit:
            raise BodyTooLargeError()
        data = environ["wsgi.input"].read(int(size))
        if len(data) < int(size):
            raise BodyError()
        return data
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() != "chunked":
        return b""
    try:
        data = environ["wsgi.input"].read(limit + 1)
    except chunked.BadChunk as error:
        raise FramingError() from error
    if len(data) > limit:
        raise BodyTooLargeError()
    return data
