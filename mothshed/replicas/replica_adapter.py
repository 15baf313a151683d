"""The one place that knows the replicas' outside formats.

Requests follow the OpenAI-style completions API with vLLM's kv_transfer_params,
as DESIGN and the paper name them: prefill with max_tokens=1, stream=false and
do_remote_decode; decode with the handle that came back. Condition, role and free
calls are the small endpoints a replica of ours offers beside it. Whatever a
replica says is checked before it is believed: request id, engine id, whole body,
whole stream. Nothing of these formats is known elsewhere.
"""

import dataclasses
import hashlib
import json

import mothshed.constants as constants
import mothshed.http.web as web
import mothshed.replicas.verdict as verdict


@dataclasses.dataclass(frozen=True)
class Handle:
    """A KV export held by a prefill replica, bound to one send of one ask and to an engine."""

    request: str  # the id of the send that made it
    replica: str
    address: str
    engine: str
    params: dict
    born: float
    heard: bool = True  # False: no whole handle came back, yet blocks may be held


def prompt_of(path, body):
    if path == "/v1/chat/completions":
        return "\n".join(f"{m['role']}: {m['content']}" for m in body["messages"])
    return body["prompt"]


def prefix_keys(prompt):
    """Chained keys of the prompt's whole leading blocks.

    >>> a, b = prefix_keys("x" * 600), prefix_keys("x" * 512 + "y" * 100)
    >>> len(a), a == b
    (2, True)
    """
    keys, chain = [], b""
    for at in range(0, min(len(prompt) // constants.CACHE_BLOCK_CHARS, constants.MAX_PROMPT_CACHE_KEYS)):
        piece = prompt[at * constants.CACHE_BLOCK_CHARS : (at + 1) * constants.CACHE_BLOCK_CHARS].encode()
        chain = hashlib.blake2b(chain + piece, digest_size=4).digest()
        keys.append(chain.hex())
    return keys


def ask_of(request, chance):
    """A name for one ask, whatever id its user agent gave it and how often."""
    return f"{request.id[:96]}.{chance.getrandbits(48):012x}"


def headers_of(request, name, sequence, left):
    return {
        "x-request-id": name,
        "x-caller-request-id": request.id,
        "x-config-sequence": str(sequence),
        "x-cutoff-ms": str(int(left * 1000)),
    }


def ids_of(name):
    return f"cmpl-{name}", f"chatcmpl-{name}"


def fail_of(error, replica):
    kind = verdict.Verdict.MAY_HAVE_RUN if error.sent else verdict.Verdict.NOT_RUN
    return verdict.SendFailure(kind, str(error), replica)


def bad_status(response, replica):
    """A status that is not 200: not_run only when the replica itself says so."""
    try:
        error = response.body().get("error", {})
        said, kind = error.get("verdict"), error.get("type", "")
    except (web.WebFault, AttributeError):
        said, kind = None, ""
    clean = said == "not_run" and response.headers.get("x-request-id") is not None
    proof = verdict.Verdict.NOT_RUN if clean else verdict.Verdict.MAY_HAVE_RUN
    return verdict.SendFailure(
        proof, f"status {response.status} {kind}".strip(), replica, handle_lost=kind == "kv_gone"
    )


def prefill(environment, request, name, place, sequence, left, ready):
    """Orders the prefill under the send's name; returns the Handle, its one token is discarded.

    ready() is asked once the connection stands, right before the send.
    """
    body = {
        **request.body,
        "max_tokens": 1,
        "stream": False,
        "kv_transfer_params": {"do_remote_decode": True, "do_remote_prefill": False},
    }
    body.pop("stream_options", None)
    born = environment.now()
    try:
        response = environment.web.send(
            "POST",
            place.url + request.path,
            body,
            headers_of(request, name, sequence, left),
            read=left,
            ready=ready,
            cancellation=request.caller.cancellation,
        )
        if response.status != 200:
            raise bad_status(response, place.name)
        said = response.body()
        params = said["kv_transfer_params"]
        needed = [params[k] for k in ("remote_engine_id", "remote_block_ids", "remote_host", "remote_port")]
        if params["remote_request_id"] != name or said["id"] not in ids_of(name):
            raise ValueError("handle of another request")
        if not all(isinstance(n, (str, int, list)) and n != "" for n in needed):
            raise ValueError("handle not whole")
        if place.engine and params["remote_engine_id"] != place.engine:
            raise ValueError("handle of another engine")
    except web.WebFault as e:
        raise fail_of(e, place.name) from e
    except (KeyError, TypeError, ValueError) as e:
        raise verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, f"prefill answer: {e!r}", place.name) from e
    return Handle(name, place.name, place.url, params["remote_engine_id"], params, born)


def unheard(environment, name, place):
    """A handle for what a prefill without a whole answer may hold."""
    return Handle(name, place.name, place.url, place.engine, {"remote_block_ids": []}, environment.now(), False)


def decode(environment, request, name, place, handle, sequence, left, ready):
    """Orders the decode; returns an iterator of (text, finish reason) that ends only when whole."""
    if handle.request.rsplit(".", 1)[0] != name.rsplit(".", 1)[0]:
        raise verdict.SendFailure(verdict.Verdict.NOT_RUN, "handle of another request", place.name, handle_lost=True)
    if environment.now() - handle.born > constants.HANDLE_TTL_S:
        raise verdict.SendFailure(verdict.Verdict.NOT_RUN, "handle too old", place.name, handle_lost=True)
    body = {
        **request.body,
        "stream": True,
        "kv_transfer_params": {**handle.params, "do_remote_prefill": True, "do_remote_decode": False},
    }
    body.pop("stream_options", None)
    try:
        response = environment.web.send(
            "POST",
            place.url + request.path,
            body,
            headers_of(request, name, sequence, left),
            read=min(left, constants.STREAM_IDLE_TIMEOUT_S),
            ready=ready,
            cancellation=request.caller.cancellation,
        )
        if response.status != 200:
            raise bad_status(response, place.name)
    except web.WebFault as e:
        raise fail_of(e, place.name) from e
    return Stream(environment, name, place, response, left)


class Stream:
    """The decode replica's tokens. Iterating raises SendFailure unless the end was whole."""

    def __init__(self, environment, name, place, response, left):
        self.environment, self.name, self.place, self.response = environment, name, place, response
        self.until = environment.now() + left

    def __iter__(self):
        finish, done = None, False
        try:
            for line in self.response.lines():
                if self.environment.now() > self.until:
                    raise ValueError("cutoff passed")
                line = line.strip()
                if not line:
                    continue
                if done or not line.startswith(b"data: "):
                    raise ValueError("not an event line")
                if line == b"data: [DONE]":
                    done = True
                    continue
                text, finish = self.read(json.loads(line[6:]), finish)
                yield text, finish
            if not (done and finish):
                raise ValueError("stream ended before its end")
        except web.WebFault as e:
            raise verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, str(e), self.place.name) from e
        except (KeyError, IndexError, TypeError, ValueError) as e:
            raise verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, f"stream: {e!r}", self.place.name) from e

    def read(self, chunk, finish):
        if "error" in chunk:
            raise ValueError(f"error after 200: {chunk['error']}")
        if chunk["id"] not in ids_of(self.name):
            raise ValueError("chunk of another request")
        if finish:
            raise ValueError("chunk after the finish")
        choice = chunk["choices"][0]
        text = choice["delta"].get("content", "") if "delta" in choice else choice["text"]
        if not isinstance(text, str):
            raise ValueError("chunk without text")
        return text, choice.get("finish_reason")

    def close(self):
        self.response.close()


def free(environment, handle):
    """Orders the free; True once the replica holds the blocks no more.

    "Not held" ends the matter for a handle that came back; for one that never did
    the export may still be coming, so only a free that was carried out does.
    """
    body = {"engine_id": handle.engine, "request_id": handle.request, "block_ids": handle.params["remote_block_ids"]}
    status, said = environment.web.poll(
        "POST", handle.address + "/kv/free", body, read=constants.HANDLE_RELEASE_TIMEOUT_S
    )
    return status == 200 or status == 404 and handle.heard


def condition(environment, url):
    status, said = environment.web.poll("GET", url + "/condition")
    if status != 200 or not isinstance(said, dict):
        raise web.WebFault(f"status {status}", True)
    try:
        return {
            "engine": str(said["engine_id"]),
            "role": str(said["role"]),
            "run": int(said["running"]),
            "wait": int(said["waiting"]),
            "slots": int(said["slots"]),
            "keys": [str(k) for k in said["cache"]][-constants.MAX_REPLICA_CACHE_KEYS :],
            "standing": int(said["standing"]),
        }
    except (KeyError, TypeError, ValueError) as e:
        raise web.WebFault(f"condition: {e!r}", True) from e


def order_role(environment, place, role, standing, holder, sequence, ready=lambda: True):
    """Orders a role under a standing: True when the replica took it. ready() is the last check before the write."""
    body = {"role": role, "standing": standing, "holder": holder, "sequence": sequence}
    response = environment.web.send("POST", place.url + "/role", body, read=constants.ORDER_TIMEOUT_S, ready=ready)
    status = response.status
    response.body()
    return status == 200
