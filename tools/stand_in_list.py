"""A stand-in platform list that lags: GET /replicas shows the state of LAG ago.

python -m tools.stand_in_list --address 127.0.0.1:9000 --lag 0.7

POST /set takes one item ({"name": ..., "state": "leaving"} or a whole item),
POST /drop {"name": ...} removes it. GET /shown tells when each state was first
visible, for the checker.
"""

import argparse
import json
import threading

import mothshed.http.http_server as http_server
import mothshed.runtime.clock as clock


class PlatformList:
    def __init__(self, lag=0.0, now=clock.now):
        self.lag, self.now = lag, now
        self.lock = threading.Lock()
        self.past = [(now() - 1e6, {})]  # (when, items)
        self.downs = []  # spans in which it answers nothing
        self.lags = {}  # reader -> a lag of its own

    def change(self, name, item):
        with self.lock:
            items = dict(self.past[-1][1])
            if item is None:
                items.pop(name, None)
            else:
                items[name] = {**items.get(name, {}), **item}
            self.past.append((self.now(), items))

    def down(self, seconds):
        self.downs.append((self.now(), self.now() + seconds))

    def shown_at(self, at):
        """When a change made at this time could first be read."""
        first = at + self.lag
        return max([first] + [until for since, until in self.downs if since <= first < until])

    def shown(self, reader=""):
        with self.lock:
            upto = self.now() - self.lags.get(reader, self.lag)
            return next(items for at, items in reversed(self.past) if at <= upto)

    def history(self):
        """Map each name to spans [from, until or None] in which it was shown as leaving."""
        found = {}
        with self.lock:
            for at, items in self.past:
                for name, item in items.items():
                    spans, leaving = found.setdefault(name, []), item.get("state") == "leaving"
                    shown = bool(spans) and spans[-1][1] is None
                    if leaving and not shown:
                        spans.append([self.shown_at(at), None])
                    elif shown and not leaving:
                        spans[-1][1] = at + self.lag
        return {name: spans for name, spans in found.items() if spans}

    def __call__(self, environ, start):
        path = environ["PATH_INFO"]
        data = http_server.read_body(environ)
        if path == "/replicas":
            if any(since <= self.now() < until for since, until in self.downs):
                return http_server.error_response(start, 503, "list is down")
            return http_server.respond(start, 200, {"items": list(self.shown(environ.get("REMOTE_ADDR", "")).values())})
        if path == "/set":
            item = json.loads(data)
            self.change(item["name"], item)
        elif path == "/drop":
            self.change(json.loads(data)["name"], None)
        elif path == "/down":
            self.down(json.loads(data)["seconds"])
        elif path != "/shown":
            return http_server.error_response(start, 404, "no such path")
        return http_server.respond(start, 200, {"leaving": self.history()})


def main():
    parser = argparse.ArgumentParser(description="stand-in platform list")
    parser.add_argument("--address", required=True)
    parser.add_argument("--lag", type=float, default=0.7)
    args = parser.parse_args()
    http_server.Server(args.address, PlatformList(args.lag), 16).safe_start()


if __name__ == "__main__":
    main()
