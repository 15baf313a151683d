"""From an HTTP request to a Request: every check that needs no replica.

A fault is a Rejection with its status; nothing has run when one is raised.
"""

import dataclasses
import json
import math
import re

import mothshed.configuration.tenant_keys as tenant_keys
import mothshed.constants as constants
import mothshed.data_plane.identity as identity_module
import mothshed.http.caller as caller_module
import mothshed.replicas.replica_adapter as replica_adapter
import mothshed.replicas.verdict as verdict

PATHS = ("/v1/completions", "/v1/chat/completions")
ID = re.compile(r"[A-Za-z0-9._:-]{1,128}\Z")


@dataclasses.dataclass
class Request:
    id: str
    tenant: str
    kind: str
    safe: bool  # safe to repeat
    path: str
    body: dict  # as the user agent sent it, without the parts the router sets
    prompt: str
    stream: bool
    born: float
    cutoff: float  # moment by which the answer must be whole
    caller: caller_module.Caller = dataclasses.field(default_factory=caller_module.Caller)
    key_digest: str | None = None  # of the API key that came with it
    identity: identity_module.Identity | None = None  # who it comes from; None where no key is asked for


def bad(reason, status=400):
    return verdict.Rejection(status, reason)


def parse(now, path, headers, data, document, caller_identity=None):
    """Reads a request; headers are lower-case names. document: the active configuration.

    caller_identity: who it comes from, None where no key is asked for: then the tenant is the one that it names.
    """
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as e:
        raise bad(f"body is not JSON: {e}") from e
    if not isinstance(body, dict):
        raise bad("body must be a JSON object")
    if body.get("model") != document["model"]:
        raise bad(f"unknown model {body.get('model')!r}", 404)
    check_prompt(path, body)
    if not isinstance(body.get("stream", False), bool):
        raise bad("stream must be true or false")
    if body.get("n", 1) != 1:
        raise bad("n must be 1")
    most = body.get("max_tokens", 16)
    if not isinstance(most, int) or isinstance(most, bool) or most < 1:
        raise bad("max_tokens must be a whole number above 0")
    tenant = caller_identity.tenant if caller_identity else headers.get(identity_module.TENANT_HEADER, "")
    kind = headers.get("x-kind", "")
    if tenant not in document["tenants"]:
        raise bad(f"unknown tenant {tenant!r}", 403)
    if kind and kind not in document["kinds"]:
        raise bad(f"unknown kind {kind!r}")
    kind = kind or next(iter(document["kinds"]))
    name = headers.get("x-request-id", "")
    if not ID.match(name):
        raise bad("x-request-id is missing or malformed")
    safe = headers.get("x-safe-to-repeat", "false").lower()
    if safe not in ("true", "false"):
        raise bad("x-safe-to-repeat must be true or false")
    span = cutoff_of(headers, document["kinds"][kind]["cutoff_s"])
    own = {k: v for k, v in body.items() if k not in ("kv_transfer_params", "stream")}
    return Request(
        name,
        tenant,
        kind,
        safe == "true",
        path,
        own,
        replica_adapter.prompt_text(path, body),
        body.get("stream", False),
        now,
        now + span,
        key_digest=tenant_keys.digest_in(headers.get(identity_module.AUTHORIZATION_HEADER, "")),
        identity=caller_identity,
    )


def check_prompt(path, body):
    if path == "/v1/completions":
        if not isinstance(body.get("prompt"), str) or not body["prompt"]:
            raise bad("prompt must be a text of at least one character")
        return
    rows = body.get("messages")
    if not isinstance(rows, list) or not rows:
        raise bad("messages must be a list of at least one message")
    for row in rows:
        if not isinstance(row, dict) or not all(isinstance(row.get(k), str) for k in ("role", "content")):
            raise bad("each message needs role and content as text")


def cutoff_of(headers, usual):
    text = headers.get("x-cutoff-ms")
    if text is None:
        return usual
    try:
        span = float(text) / 1000
    except ValueError as e:
        raise bad("x-cutoff-ms must be a number") from e
    if not math.isfinite(span) or not 0 < span <= constants.MAX_CUTOFF_S:
        raise bad(f"x-cutoff-ms must be above 0 and at most {constants.MAX_CUTOFF_S * 1000:.0f}")
    return span
