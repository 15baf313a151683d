"""The token stream of a decode on a stand-in replica, including injected faults."""

import json

import tools.replica_memory as replica_memory


class TokenStream:
    """The event stream of a decode; each token names its position, its run and the digest of its memory."""

    def __init__(self, replica, path, request, body, digest, run):
        self.memory, self.path, self.request, self.run = replica.memory, path, request, run
        self.token_count = body.get("max_tokens", 16)
        self.event_iterator = self.events(digest)
        self.is_open = True

    def __iter__(self):
        return self.event_iterator

    def events(self, digest):
        """Yield one event per token, or what an injected fault makes of it."""
        memory = self.memory
        for position in range(self.token_count):
            memory.environment.sleep(memory.fault.get("slow", 1) / replica_memory.DECODE_TOKENS_PER_S)
            memory.environment.sleep(max(0.0, memory.fault.get("rest_until", 0) - memory.environment.now()))
            if memory.fault.get("cut_after") == position:
                raise ConnectionAbortedError("cut by a fault")
            if memory.fault.get("error_after") == position:
                yield b'data: {"error": {"message": "engine failed"}}\n\n'
                return
            text, finish_reason = (
                f"{position}.{self.run}.{digest} ",
                "stop" if position == self.token_count - 1 else None,
            )
            choice = {"index": 0, "text": text, "finish_reason": finish_reason}
            if self.path == "/v1/chat/completions":
                choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish_reason}
            chunk = {"id": f"cmpl-{self.request}", "object": "text_completion", "choices": [choice]}
            yield b"data: " + json.dumps(chunk).encode() + b"\n\n"
        yield b"data: [DONE]\n\n"
        memory.ledger.add("decoded", request=memory.callers[self.request], run=self.run, tokens=self.token_count)

    def close(self):
        """Stop streaming and release the slot; repeated calls do nothing."""
        if self.is_open:
            self.is_open = False
            self.event_iterator.close()
            self.memory.release_slot()
