"""Parses an HTTP request of the completions interface into a Request.

All checks that need no replica are made here. An invalid request raises Rejection with
its HTTP status; nothing has run then.
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
REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}\Z")


@dataclasses.dataclass
class Request:
    """A validated completions request. Times are seconds on the environment's clock."""

    id: str
    tenant: str
    kind: str
    safe_to_repeat: bool
    path: str
    body: dict  # as the client sent it, without the fields that the router sets
    prompt: str
    stream: bool
    arrived_at: float
    cutoff: float  # deadline for the complete response
    caller: caller_module.Caller = dataclasses.field(default_factory=caller_module.Caller)
    key_digest: str | None = None  # of the API key sent with it
    identity: identity_module.Identity | None = None  # authenticated tenant; None where no key is required


def invalid_request(reason, status=400):
    """Return the Rejection of an invalid request, for the caller to raise."""
    return verdict.Rejection(status, reason)


def parse(arrived_at, path, headers, data, document, caller_identity=None):
    """Parse a request; raises Rejection. headers: by lower-case name. document: the active configuration.

    caller_identity: the authenticated tenant. None where no key is required; then the tenant header counts.
    """
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as e:
        raise invalid_request(f"body is not JSON: {e}") from e
    if not isinstance(body, dict):
        raise invalid_request("body must be a JSON object")
    if body.get("model") != document["model"]:
        raise invalid_request(f"unknown model {body.get('model')!r}", 404)
    check_prompt(path, body)
    if not isinstance(body.get("stream", False), bool):
        raise invalid_request("stream must be true or false")
    if body.get("n", 1) != 1:
        raise invalid_request("n must be 1")
    max_tokens = body.get("max_tokens", 16)
    if not isinstance(max_tokens, int) or isinstance(max_tokens, bool) or max_tokens < 1:
        raise invalid_request("max_tokens must be a whole number above 0")
    tenant = caller_identity.tenant if caller_identity else headers.get(identity_module.TENANT_HEADER, "")
    kind = headers.get("x-kind", "")
    if tenant not in document["tenants"]:
        raise invalid_request(f"unknown tenant {tenant!r}", 403)
    if kind and kind not in document["kinds"]:
        raise invalid_request(f"unknown kind {kind!r}")
    kind = kind or next(iter(document["kinds"]))
    request_id = headers.get("x-request-id", "")
    if not REQUEST_ID.match(request_id):
        raise invalid_request("x-request-id is missing or malformed")
    safe_to_repeat = headers.get("x-safe-to-repeat", "false").lower()
    if safe_to_repeat not in ("true", "false"):
        raise invalid_request("x-safe-to-repeat must be true or false")
    cutoff_s = parse_cutoff(headers, document["kinds"][kind]["cutoff_s"])
    forwarded_body = {k: v for k, v in body.items() if k not in ("kv_transfer_params", "stream")}
    return Request(
        request_id,
        tenant,
        kind,
        safe_to_repeat == "true",
        path,
        forwarded_body,
        replica_adapter.prompt_text(path, body),
        body.get("stream", False),
        arrived_at,
        arrived_at + cutoff_s,
        key_digest=tenant_keys.digest_in(headers.get(identity_module.AUTHORIZATION_HEADER, "")),
        identity=caller_identity,
    )


def check_prompt(path, body):
    """Raise Rejection unless the body has a valid prompt (completions) or messages (chat completions)."""
    if path == "/v1/completions":
        if not isinstance(body.get("prompt"), str) or not body["prompt"]:
            raise invalid_request("prompt must be a text of at least one character")
        return
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise invalid_request("messages must be a list of at least one message")
    for message in messages:
        if not isinstance(message, dict) or not all(isinstance(message.get(k), str) for k in ("role", "content")):
            raise invalid_request("each message needs role and content as text")


def parse_cutoff(headers, default_s):
    """Return the time that the client allows for the response, in seconds; raises Rejection."""
    value = headers.get("x-cutoff-ms")
    if value is None:
        return default_s
    try:
        cutoff_s = float(value) / 1000
    except ValueError as e:
        raise invalid_request("x-cutoff-ms must be a number") from e
    if not math.isfinite(cutoff_s) or not 0 < cutoff_s <= constants.MAX_CUTOFF_S:
        raise invalid_request(f"x-cutoff-ms must be above 0 and at most {constants.MAX_CUTOFF_S * 1000:.0f}")
    return cutoff_s
