"""Matches requests to routes, and tells what a route allows.

Among the routes of a host the one with the longest matching path prefix applies. A route table is built once per
document, together with the table of its tenants' keys; parts that are unchanged from the previous document are
reused. Safe requests and resumable streams may be repeated; everything else runs at most once.

>>> rows = [{"name": "a", "host": "h", "prefix": "/"}, {"name": "b", "host": "h", "prefix": "/x/"}]
>>> table = RouteTable({"routes": rows, "tenants": {}})
>>> table.match("H:80", "/x/1?q")["name"], table.match("h", "/x")["name"], table.match("i", "/")
('b', 'a', None)
"""

import typing

import mothshed.configuration.tenant_keys as tenant_keys

Route = dict[str, typing.Any]  # a row of the document's routes


class RouteTable:
    """The routes and keys of one document. previous: the table of another one, whose unchanged parts are reused."""

    def __init__(self, document, previous=None):
        self.routes, self.tenants = document.get("routes", []), document["tenants"]
        self.hosts = previous.hosts if previous and previous.routes is self.routes else routes_by_host(self.routes)
        same_tenants = previous is not None and previous.tenants is self.tenants
        self.keys = previous.keys if same_tenants else tenant_keys.KeyTable(document)

    def match(self, host, target):
        host = host.lower()
        rows = self.hosts.get(host) or self.hosts.get(host.rsplit(":", 1)[0], ())
        path = target.partition("?")[0]
        return next((row for row in rows if path.startswith(row["prefix"])), None)


def routes_by_host(routes: list[Route]) -> dict[str, list[Route]]:
    """Routes by host in lower case, those with the longest prefix first."""
    hosts: dict[str, list[Route]] = {}
    for row in routes:
        hosts.setdefault(row["host"].lower(), []).append(row)
    for rows in hosts.values():
        rows.sort(key=lambda row: -len(row["prefix"]))
    return hosts


class RouteTables:
    """The route table of the document in force, rebuilt when that changes."""

    def __init__(self):
        self.newest = (None, None)  # (sequence, its table); replaced as one value, since threads read it without a lock

    def table_for(self, sequence, document):
        """The table of the document of this sequence, also while other threads ask for another one."""
        newest_sequence, table = self.newest
        if newest_sequence != sequence:
            table = RouteTable(document, table)
            self.newest = (sequence, table)
        return table


def plan_is_current(
    route: Route,
    newer_route: Route | None,
    pool: str,
    selector: dict[str, str],
    document: dict[str, typing.Any],
) -> bool:
    """Whether `newer_route`, a request's route in a newer document, still sends it to the pool chosen under `route`.

    Deadlines and aims may have changed: the new ones apply to later requests only.
    """
    if newer_route is None or any(
        newer_route[key] != route[key] for key in ("host", "prefix", "kind", "tries", "resumable")
    ):
        return False
    if document["pools"].get(pool, {}).get("selector") != selector:
        return False
    return any(row["pool"] == pool and row["share"] for row in newer_route["pools"])


def is_repeatable(route: Route) -> bool:
    """Whether a request of a route may run more than once."""
    return bool(route["kind"] == "safe" or route["kind"] == "stream" and route["resumable"])


def choose_pool(route, random):
    """One of the route's pools, chosen at random in proportion to the shares."""
    rows = [row for row in route["pools"] if row["share"]]
    return random.choices([row["pool"] for row in rows], [row["share"] for row in rows])[0]
