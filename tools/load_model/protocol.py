"""The replica protocol of the load model, in memory.

It replaces the adapter to a platform; the cost of the platform's formats is not included.
"""

import mothshed.http.http_client as http_client


class ModelProtocol:
    reports_roles, announces_token = True, False
    tenant_field, system_fields = "x-tenant-name", frozenset()

    def rows(self, environment, url):
        """Return all pages of the replica list as {name: row}."""
        rows, page = {}, 0
        while page is not None:
            status, body = environment.web.poll("GET", f"{url}/list/p-{page}")
            if status != 200:
                raise http_client.ExchangeError(f"list status {status}", True)
            rows.update(body["rows"])
            page = body["next"]
        return rows

    def read(self, headers):
        return {
            "id": headers["X-Id"],
            "left": 8.0,
            "tokens": 4000,
            "parts": [("5c1e", 800), ("91bd", 3200)],
            "after": None,
        }

    def release_handle(self, environment, handle):
        return True

    def order_role(self, environment, endpoint, role, fencing_token, leader_id, sequence, ready=lambda: True):
        return False
