"""The token stream that a stand-in replica answers a decode with, faults included."""

import json

import tools.replica_memory as replica_memory


class TokenStream:
    """The decode's stream; each token names its place, its run and the memory it came from."""

    def __init__(self, replica, path, request, body, digest, run):
        self.memory, self.path, self.request, self.run = replica.memory, path, request, run
        self.count = body.get("max_tokens", 16)
        self.rows = self.events(digest)
        self.open = True

    def __iter__(self):
        return self.rows

    def events(self, digest):
        """Yield each token's event, or what the fault in force makes of it."""
        memory = self.memory
        for at in range(self.count):
            memory.environment.sleep(memory.fault.get("slow", 1) / replica_memory.WRITE_SPEED)
            if memory.fault.get("cut_after") == at:
                raise ConnectionAbortedError("cut by a fault")
            if memory.fault.get("error_after") == at:
                yield b'data: {"error": {"message": "engine failed"}}\n\n'
                return
            text, finish = f"{at}.{self.run}.{digest} ", "stop" if at == self.count - 1 else None
            choice = {"index": 0, "text": text, "finish_reason": finish}
            if self.path == "/v1/chat/completions":
                choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
            chunk = {"id": f"cmpl-{self.request}", "object": "text_completion", "choices": [choice]}
            yield b"data: " + json.dumps(chunk).encode() + b"\n\n"
        yield b"data: [DONE]\n\n"
        memory.ledger.add("decoded", request=memory.callers[self.request], run=self.run, tokens=self.count)

    def close(self):
        """Stop streaming and give the place back, once."""
        if self.open:
            self.open = False
            self.rows.close()
            self.memory.give_slot()
