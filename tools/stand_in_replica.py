"""A stand-in model server with OpenAI-style completions and kv_transfer_params.

python -m tools.stand_in_replica --name r1 --address 127.0.0.1:9101 --ledger r1.jsonl

POST /fault sets the injected faults: {"crash": true}, {"dark": seconds}, {"hold": s},
{"lapse": true}, {"link": seconds}, {"cut_after": n}, {"error_after": n},
{"foreign_handle": true}, {"no_handle": true}, {"short_body": true},
{"bounce": "prefill"|"decode"}, {"slow": factor}, {"rest": seconds} (all running requests pause, then go on).
"""

import argparse
import json
import os

import mothshed.http.http_client as http_client
import mothshed.http.http_server as http_server
import mothshed.http.request_body as request_body
import mothshed.programs.environment as environment_module
import tools.replica_memory as replica_memory
import tools.token_stream as token_stream

THREADS = 64


class Replica:
    """One model server as a WSGI application; `crash` ends the process for the fault of that name."""

    def __init__(self, memory, address, crash=lambda: os._exit(9)):
        self.memory, self.address, self.crash = memory, address, crash
        self.environment = memory.environment

    def __call__(self, environ, start):
        path, memory = environ["PATH_INFO"], self.memory
        environ["mothshed.arrived"] = self.environment.now()  # a dark replica delays its answers, not the arrival
        dark_s = memory.fault.get("dark_until", 0) - self.environment.now()
        if dark_s > 0 and path != "/fault":
            self.environment.sleep(min(dark_s, 30))
        data = request_body.read_body(environ)
        body = json.loads(data) if data else {}
        if path == "/condition":
            return http_server.respond(start, 200, memory.condition())
        if path == "/kv/pull":
            self.environment.sleep(memory.fault.get("link", 0))
            digest = memory.pull(body["engine_id"], body["request_id"], body["block_ids"])
            return http_server.respond(start, 200 if digest else 404, {"digest": digest})
        if path == "/kv/handshake":
            return http_server.respond(
                start,
                200,
                {"engine_id": memory.engine, "agent": memory.token(), "block_len": 256, "base": 4096, "heads": 8},
            )
        if path == "/kv/free":
            accepted = memory.free(body["engine_id"], body["request_id"])
            return http_server.respond(start, 200 if accepted else 404, {"freed": accepted})
        if path == "/role":
            accepted = memory.order(body["role"], body["standing"], body["holder"], body["sequence"])
            return http_server.respond(start, 200 if accepted else 409, {"standing": memory.fencing_token})
        if path == "/fault":
            return self.set_fault(body, start)
        if path in ("/v1/completions", "/v1/chat/completions"):
            return self.complete(path, environ, body, start)
        return http_server.error_response(start, 404, "no such path")

    def set_fault(self, body, start):
        """Replace the injected faults."""
        memory = self.memory
        if body.get("crash"):
            self.crash()
        if "dark" in body:
            body["dark_until"] = self.environment.now() + body.pop("dark")
        if "rest" in body:
            body["rest_until"] = self.environment.now() + body.pop("rest")
        memory.hold_s = body.pop("hold", memory.hold_s)
        if body.pop("lapse", False):
            with memory.lock:
                for held in memory.held.values():
                    held["exported_at"] = -1e9
            memory.expire_held()
        memory.fault = body
        return http_server.respond(start, 200, {})

    def reject(self, start, request, reason, status=503, kind="busy"):
        """Reject a request that has not run."""
        return http_server.respond(
            start,
            status,
            {"error": {"message": reason, "type": kind, "verdict": "not_run"}},
            [("X-Request-Id", request)],
        )

    def complete(self, path, environ, body, start):
        """Serve a prefill or a decode, depending on the request's kv_transfer_params."""
        headers = http_server.request_headers(environ)
        request, memory = headers.get("x-request-id", ""), self.memory
        caller = headers.get("x-caller-request-id", request)  # the ledger uses the id of the user agent
        memory.callers[request] = caller
        sequence = int(headers.get("x-config-sequence", 0))
        kv = body.get("kv_transfer_params") or {}
        role = "prefill" if kv.get("do_remote_decode") else "decode" if kv.get("do_remote_prefill") else ""
        is_older = memory.is_older_sequence(sequence)
        memory.ledger.add(
            "seen",
            request=caller,
            send=request,
            role=role,
            sequence=sequence,
            older=is_older,
            at=environ["mothshed.arrived"],
        )
        if is_older:
            return self.reject(start, request, "a newer configuration was seen here", 409, "older_configuration")
        if not role or role != memory.role or memory.fault.get("bounce") == role:
            return self.reject(start, request, f"not serving {role or 'whole requests'}")
        try:
            memory.acquire_slot()
        except replica_memory.QueueFull:
            return self.reject(start, request, "queue is full")
        if role == "prefill":
            try:
                return self.prefill(path, request, body, sequence, start)
            finally:
                memory.release_slot()
        return self.decode(path, request, body, kv, sequence, start)

    def prompt(self, path, body):
        """Return the prompt of a completion or chat completion request."""
        return replica_memory.replica_adapter.prompt_text(path, body)

    def prefill(self, path, request, body, sequence, start):
        """Prefill the prompt and respond with the handle of its exported KV memory."""
        memory = self.memory
        if body.get("max_tokens") != 1 or body.get("stream"):
            return self.reject(start, request, "prefill needs max_tokens=1 and stream=false", 400, "bad_request")
        prompt = self.prompt(path, body)
        run = memory.token()
        memory.ledger.add(
            "run",
            role="prefill",
            request=memory.callers[request],
            run=run,
            sequence=sequence,
            digest=replica_memory.digest_of(prompt),
        )
        self.environment.sleep(
            memory.count_uncached_chars(prompt) / replica_memory.PREFILL_CHARS_PER_S * memory.fault.get("slow", 1)
        )
        blocks = memory.export(request, prompt)
        host, port = self.address.rsplit(":", 1)
        params = {
            "remote_engine_id": memory.engine,
            "remote_block_ids": blocks,
            "remote_request_id": request,
            "remote_host": host,
            "remote_port": int(port),
            "do_remote_prefill": True,
            "do_remote_decode": False,
        }
        if memory.fault.get("foreign_handle"):
            params["remote_request_id"] = "other-" + request
        response = {
            "id": f"cmpl-{request}",
            "object": "text_completion",
            "kv_transfer_params": params,
            "choices": [{"index": 0, "text": "discard-me", "finish_reason": "length"}],
        }
        if memory.fault.get("no_handle"):
            del response["kv_transfer_params"]
        self.environment.sleep(max(0.0, memory.fault.get("rest_until", 0) - self.environment.now()))
        memory.ledger.add("prefilled", request=memory.callers[request], run=run)
        if memory.fault.get("short_body"):
            start(
                "200 OK", [("Content-Type", "application/json"), ("Content-Length", "5000"), ("X-Request-Id", request)]
            )
            return [json.dumps(response).encode()[:40]]
        return http_server.respond(start, 200, response, [("X-Request-Id", request)])

    def pull_memory(self, request, kv):
        """Wait for remote KV memory: handshake once per pair, then pull. None: the memory is gone."""
        memory, base = self.memory, f"http://{kv['remote_host']}:{kv['remote_port']}"
        self.environment.sleep(memory.fault.get("link", 0))
        try:
            if kv["remote_engine_id"] not in memory.handshaken_engines:
                status, response = self.environment.web.poll("GET", base + "/kv/handshake", read=2.0)
                if response.get("engine_id") != kv["remote_engine_id"]:
                    return None
                memory.handshaken_engines.add(kv["remote_engine_id"])
                memory.ledger.add("handshake", engine=kv["remote_engine_id"])
            status, response = self.environment.web.poll(
                "POST",
                base + "/kv/pull",
                {
                    "engine_id": kv["remote_engine_id"],
                    "request_id": kv["remote_request_id"],
                    "block_ids": kv["remote_block_ids"],
                },
                read=5.0,
            )
            return response["digest"] if status == 200 else None
        except (http_client.ExchangeError, KeyError):
            return None

    def decode(self, path, request, body, kv, sequence, start):
        """Pull the memory that the handle names and stream the answer."""
        memory = self.memory
        try:
            digest = self.pull_memory(request, kv)
        except BaseException:
            memory.release_slot()
            raise
        if digest is None:
            memory.release_slot()
            return self.reject(start, request, "held memory is gone", 409, "kv_gone")
        run = memory.token()
        memory.ledger.add(
            "run",
            role="decode",
            request=memory.callers[request],
            run=run,
            sequence=sequence,
            memory=digest,
            digest=replica_memory.digest_of(self.prompt(path, body)),
        )
        start("200 OK", [("Content-Type", "text/event-stream"), ("X-Request-Id", request)])
        return token_stream.TokenStream(self, path, request, body, digest, run)


def main():
    """Serve one replica until the process is killed."""
    parser = argparse.ArgumentParser(description="stand-in model server")
    parser.add_argument("--name", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--ledger")
    args = parser.parse_args()
    memory = replica_memory.Memory(environment_module.BlockingEnvironment(), args.name, args.ledger)
    http_server.Server(args.address, Replica(memory, args.address), THREADS).safe_start()


if __name__ == "__main__":
    main()
