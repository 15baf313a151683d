"""How a hollow fleet speaks: the list and requests in our own words, over memory.

It stands where an adapter to a platform stands; what that one's formats cost beside
is not counted here.
"""

import mothshed.http.http_client as http_client


class ModelProtocol:
    reports_roles, announces_token = True, False
    tenant_field, system_fields = "x-tenant-name", frozenset()

    def rows(self, environment, url):
        """The list, all its pages: name -> row."""
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
