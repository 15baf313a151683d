"""The request and response formats of replicas; no other module knows them.

Requests follow the OpenAI-style completions API with vLLM's kv_transfer_params: a prefill has max_tokens=1,
stream=false and do_remote_decode, a decode carries the handle that the prefill returned. The endpoints for
condition, role and handle release are additions of this project's replicas. Every response is checked before it
is used: request id, engine id, complete body, complete stream.
"""

import dataclasses
import hashlib
import json

import mothshed.constants as constants
import mothshed.http.http_client as http_client
import mothshed.replicas.verdict as verdict


@dataclasses.dataclass(frozen=True)
class Handle:
    """A KV export held by a prefill replica, bound to one send of one request and to an engine."""

    request: str  # id of the send that created it
    replica: str
    address: str
    engine: str
    params: dict
    created_at: float
    confirmed: bool = True  # False: no complete handle came back, but blocks may be held


def prompt_text(path, body):
    if path == "/v1/chat/completions":
        return "\n".join(f"{m['role']}: {m['content']}" for m in body["messages"])
    return body["prompt"]


def prefix_keys(prompt):
    """Return the chained hash keys of the prompt's complete leading blocks.

    >>> a, b = prefix_keys("x" * 600), prefix_keys("x" * 512 + "y" * 100)
    >>> len(a), a == b
    (2, True)
    """
    keys, chain = [], b""
    for at in range(0, min(len(prompt) // constants.CACHE_BLOCK_CHARS, constants.MAX_PROMPT_CACHE_KEYS)):
        block = prompt[at * constants.CACHE_BLOCK_CHARS : (at + 1) * constants.CACHE_BLOCK_CHARS].encode()
        chain = hashlib.blake2b(chain + block, digest_size=4).digest()
        keys.append(chain.hex())
    return keys


def unique_request_id(request, random):
    """Return a unique id for one request, even if its client uses the same id repeatedly."""
    return f"{request.id[:96]}.{random.getrandbits(48):012x}"


def request_headers(request, name, sequence, remaining_s):
    return {
        "x-request-id": name,
        "x-caller-request-id": request.id,
        "x-config-sequence": str(sequence),
        "x-cutoff-ms": str(int(remaining_s * 1000)),
    }


def completion_ids(name):
    return f"cmpl-{name}", f"chatcmpl-{name}"


def send_failure(error, replica):
    outcome = verdict.Verdict.MAY_HAVE_RUN if error.sent else verdict.Verdict.NOT_RUN
    return verdict.SendFailure(outcome, str(error), replica)


def status_failure(response, replica):
    """Return the failure for a status other than 200; its verdict is not_run only if the replica says so."""
    try:
        error = response.body().get("error", {})
        stated, kind = error.get("verdict"), error.get("type", "")
    except (http_client.ExchangeError, AttributeError):
        stated, kind = None, ""
    proven = stated == "not_run" and response.headers.get("x-request-id") is not None
    outcome = verdict.Verdict.NOT_RUN if proven else verdict.Verdict.MAY_HAVE_RUN
    reason = f"status {response.status} {kind}".strip()
    return verdict.SendFailure(outcome, reason, replica, handle_lost=kind == "kv_gone")


def prefill(environment, request, name, endpoint, sequence, remaining_s, ready, read_timeout_s=None, on_silence=None):
    """Request a prefill under the send's id and return its Handle; the one generated token is discarded.

    ready() is checked once the connection is open, right before the request is written. on_silence: as in
    HttpClient.send, after each read_timeout_s (by default remaining_s) without an answer.
    """
    body = {
        **request.body,
        "max_tokens": 1,
        "stream": False,
        "kv_transfer_params": {"do_remote_decode": True, "do_remote_prefill": False},
    }
    body.pop("stream_options", None)
    created_at = environment.now()
    try:
        response = environment.web.send(
            "POST",
            endpoint.url + request.path,
            body,
            request_headers(request, name, sequence, remaining_s),
            read=read_timeout_s or remaining_s,
            ready=ready,
            cancellation=request.caller.cancellation,
            on_silence=on_silence,
        )
        if response.status != 200:
            raise status_failure(response, endpoint.name)
        answer = response.body()
        params = answer["kv_transfer_params"]
        needed = [params[k] for k in ("remote_engine_id", "remote_block_ids", "remote_host", "remote_port")]
        if params["remote_request_id"] != name or answer["id"] not in completion_ids(name):
            raise ValueError("handle of another request")
        if not all(isinstance(n, (str, int, list)) and n != "" for n in needed):
            raise ValueError("handle is incomplete")
        if endpoint.engine and params["remote_engine_id"] != endpoint.engine:
            raise ValueError("handle belongs to another engine")
    except http_client.ExchangeError as e:
        raise send_failure(e, endpoint.name) from e
    except (KeyError, TypeError, ValueError) as e:
        raise verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, f"bad prefill response: {e!r}", endpoint.name) from e
    return Handle(name, endpoint.name, endpoint.url, params["remote_engine_id"], params, created_at)


def unconfirmed_handle(environment, name, endpoint):
    """Return a handle for the blocks that a prefill without a complete response may hold."""
    return Handle(
        name, endpoint.name, endpoint.url, endpoint.engine, {"remote_block_ids": []}, environment.now(), False
    )


def decode(environment, request, name, endpoint, handle, sequence, remaining_s, ready, on_silence=None):
    """Request a decode; return an iterator of (text, finish reason), which raises if the stream is incomplete."""
    if handle.request.rsplit(".", 1)[0] != name.rsplit(".", 1)[0]:
        raise verdict.SendFailure(verdict.Verdict.NOT_RUN, "handle of another request", endpoint.name, handle_lost=True)
    if environment.now() - handle.created_at > constants.HANDLE_TTL_S:
        raise verdict.SendFailure(verdict.Verdict.NOT_RUN, "handle expired", endpoint.name, handle_lost=True)
    body = {
        **request.body,
        "stream": True,
        "kv_transfer_params": {**handle.params, "do_remote_prefill": True, "do_remote_decode": False},
    }
    body.pop("stream_options", None)
    try:
        response = environment.web.send(
            "POST",
            endpoint.url + request.path,
            body,
            request_headers(request, name, sequence, remaining_s),
            read=min(remaining_s, constants.STREAM_IDLE_TIMEOUT_S),
            ready=ready,
            cancellation=request.caller.cancellation,
            on_silence=on_silence,
        )
        if response.status != 200:
            raise status_failure(response, endpoint.name)
    except http_client.ExchangeError as e:
        raise send_failure(e, endpoint.name) from e
    return Stream(environment, name, endpoint, response, remaining_s)


class Stream:
    """The decode replica's tokens. Iterating raises SendFailure unless the stream ends properly."""

    def __init__(self, environment, name, endpoint, response, remaining_s):
        self.environment, self.name, self.endpoint, self.response = environment, name, endpoint, response
        self.deadline = environment.now() + remaining_s

    def __iter__(self):
        finish, done = None, False
        try:
            for line in self.response.lines():
                if self.environment.now() > self.deadline:
                    raise ValueError("request deadline exceeded")
                line = line.strip()
                if not line:
                    continue
                if done or not line.startswith(b"data: "):
                    raise ValueError("unexpected line in the event stream")
                if line == b"data: [DONE]":
                    done = True
                    continue
                text, finish = self.read(json.loads(line[6:]), finish)
                yield text, finish
            if not (done and finish):
                raise ValueError("stream ended without a finish reason and [DONE]")
        except http_client.ExchangeError as e:
            raise verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, str(e), self.endpoint.name) from e
        except (KeyError, IndexError, TypeError, ValueError) as e:
            raise verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, f"stream: {e!r}", self.endpoint.name) from e

    def read(self, chunk, finish):
        if "error" in chunk:
            raise ValueError(f"error event after status 200: {chunk['error']}")
        if chunk["id"] not in completion_ids(self.name):
            raise ValueError("chunk belongs to another request")
        if finish:
            raise ValueError("chunk after the finish reason")
        choice = chunk["choices"][0]
        text = choice["delta"].get("content", "") if "delta" in choice else choice["text"]
        if not isinstance(text, str):
            raise ValueError("chunk has no text")
        return text, choice.get("finish_reason")

    def close(self):
        self.response.close()


def release_handle(environment, handle):
    """Release a handle; return True once its blocks are no longer held (a 404 proves this for a confirmed one only)."""
    body = {"engine_id": handle.engine, "request_id": handle.request, "block_ids": handle.params["remote_block_ids"]}
    status, answer = environment.web.poll(
        "POST", handle.address + "/kv/free", body, read=constants.HANDLE_RELEASE_TIMEOUT_S
    )
    return status == 200 or status == 404 and handle.confirmed


def condition(environment, url):
    status, answer = environment.web.poll("GET", url + "/condition")
    if status != 200 or not isinstance(answer, dict):
        raise http_client.ExchangeError(f"status {status}", True)
    try:
        return {
            "engine": str(answer["engine_id"]),
            "role": str(answer["role"]),
            "run": int(answer["running"]),
            "wait": int(answer["waiting"]),
            "slots": int(answer["slots"]),
            "keys": [str(k) for k in answer["cache"]][-constants.MAX_REPLICA_CACHE_KEYS :],
            "standing": int(answer["standing"]),
        }
    except (KeyError, TypeError, ValueError) as e:
        raise http_client.ExchangeError(f"condition: {e!r}", True) from e


def order_role(environment, endpoint, role, fencing_token, leader_id, sequence, ready=lambda: True):
    """Order a role; return whether the replica accepted it. ready() is the last check before the write."""
    body = {"role": role, "standing": fencing_token, "holder": leader_id, "sequence": sequence}
    response = environment.web.send("POST", endpoint.url + "/role", body, read=constants.ORDER_TIMEOUT_S, ready=ready)
    status = response.status
    response.body()
    return status == 200
