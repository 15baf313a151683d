"""A stand-in platform list with a lag: GET /replicas returns the state of `lag` seconds ago.

python -m tools.stand_in_list --address 127.0.0.1:9000 --lag 0.7

POST /set takes one item ({"name": ..., "state": "leaving"} or a whole item),
POST /drop {"name": ...} removes it. GET /shown returns, for the checker, when
each item was visible as leaving.
"""

import argparse
import json
import threading

import mothshed.http.http_server as http_server
import mothshed.http.request_body as request_body
import mothshed.runtime.clock as clock


class PlatformList:
    def __init__(self, lag=0.0, now=clock.now):
        self.lag, self.now = lag, now
        self.lock = threading.Lock()
        self.versions = [(now() - 1e6, {})]  # (when, items)
        self.outages = []  # (from, until) in which requests are answered with 503
        self.reader_lags = {}  # address of a reader -> its own lag

    def change(self, name, item):
        with self.lock:
            items = dict(self.versions[-1][1])
            if item is None:
                items.pop(name, None)
            else:
                items[name] = {**items.get(name, {}), **item}
            self.versions.append((self.now(), items))

    def add_outage(self, seconds):
        self.outages.append((self.now(), self.now() + seconds))

    def shown_at(self, at):
        """Return when a change made at this time first became visible."""
        first = at + self.lag
        return max([first] + [until for since, until in self.outages if since <= first < until])

    def shown(self, reader=""):
        with self.lock:
            visible_until = self.now() - self.reader_lags.get(reader, self.lag)
            return next(items for at, items in reversed(self.versions) if at <= visible_until)

    def history(self):
        """Map each name to spans [from, until or None] in which it was shown as leaving."""
        spans_by_name = {}
        with self.lock:
            for at, items in self.versions:
                for name, item in items.items():
                    spans, leaving = spans_by_name.setdefault(name, []), item.get("state") == "leaving"
                    is_shown = bool(spans) and spans[-1][1] is None
                    if leaving and not is_shown:
                        spans.append([self.shown_at(at), None])
                    elif is_shown and not leaving:
                        spans[-1][1] = at + self.lag
        return {name: spans for name, spans in spans_by_name.items() if spans}

    def __call__(self, environ, start):
        path = environ["PATH_INFO"]
        data = request_body.read_body(environ)
        if path == "/replicas":
            if any(since <= self.now() < until for since, until in self.outages):
                return http_server.error_response(start, 503, "list is down")
            return http_server.respond(start, 200, {"items": list(self.shown(environ.get("REMOTE_ADDR", "")).values())})
        if path == "/set":
            item = json.loads(data)
            self.change(item["name"], item)
        elif path == "/drop":
            self.change(json.loads(data)["name"], None)
        elif path == "/down":
            self.add_outage(json.loads(data)["seconds"])
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
