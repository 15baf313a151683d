"""Which route a request belongs to, and what that route allows.

Among the routes of a host the one with the longest prefix that begins the path
counts. Tables are made once per document, with the table of its tenants' keys; what two documents share is not
made again. A route says what may be repeated: safe
requests and resumable streams; everything else runs at most once.

>>> rows = [{"name": "a", "host": "h", "prefix": "/"}, {"name": "b", "host": "h", "prefix": "/x/"}]
>>> t = Table({"routes": rows, "tenants": {}})
>>> t.match("H:80", "/x/1?q")["name"], t.match("h", "/x")["name"], t.match("i", "/")
('b', 'a', None)
"""

import typing

import mothshed.configuration.tenant_keys as tenant_keys


class Table:
    """The routes and keys of one document; former: the table of another one, of which parts may still hold."""

    def __init__(self, document, former=None):
        self.routes, self.tenants = document.get("routes", []), document["tenants"]
        self.hosts = former.hosts if former and former.routes is self.routes else routes_by_host(self.routes)
        same_tenants = former is not None and former.tenants is self.tenants
        self.keys = former.keys if same_tenants else tenant_keys.KeyTable(document)

    def match(self, host, target):
        host = host.lower()
        rows = self.hosts.get(host) or self.hosts.get(host.rsplit(":", 1)[0], ())
        path = target.partition("?")[0]
        return next((r for r in rows if path.startswith(r["prefix"])), None)


def routes_by_host(routes: list[dict[str, typing.Any]]) -> dict[str, list[dict[str, typing.Any]]]:
    """Routes by host in lower case, those with the longest prefix first."""
    hosts: dict[str, list[dict[str, typing.Any]]] = {}
    for row in routes:
        hosts.setdefault(row["host"].lower(), []).append(row)
    for rows in hosts.values():
        rows.sort(key=lambda row: -len(row["prefix"]))
    return hosts


class Tables:
    """The table of the document in force, made anew when that changes."""

    def __init__(self):
        self.newest = (None, None)  # sequence and its table, replaced as one: threads read it without a lock

    def of(self, sequence, document):
        """The table of a document, of just this sequence though other threads may ask for another one."""
        known, table = self.newest
        if known != sequence:
            table = Table(document, table)
            self.newest = (sequence, table)
        return table


def plan_is_current(
    route: dict[str, typing.Any],
    new: dict[str, typing.Any] | None,
    pool: str,
    selector: dict[str, str],
    document: dict[str, typing.Any],
) -> bool:
    """Whether `new`, a request's route in a newer document, still sends it to the pool of a plan under `route`.

    Deadlines and aims may have changed: they bind requests that come later.
    """
    if new is None or any(new[key] != route[key] for key in ("host", "prefix", "kind", "tries", "resumable")):
        return False
    if document["pools"].get(pool, {}).get("selector") != selector:
        return False
    return any(row["pool"] == pool and row["share"] for row in new["pools"])


def repeatable(route):
    return route["kind"] == "safe" or route["kind"] == "stream" and route["resumable"]


def pool_of(route, chance):
    """One of the route's pools, drawn by share."""
    rows = [p for p in route["pools"] if p["share"]]
    return chance.choices([p["pool"] for p in rows], [p["share"] for p in rows])[0]
