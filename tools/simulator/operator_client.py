"""The simulated operator: requests to the keepers and configuration writes."""

import tools.fleet as real_fleet
import tools.simulator.network as network


class OperatorClient:
    """Calls the keepers of a simulated fleet from a machine without faults."""

    def __init__(self, fleet, environment):
        self.fleet, self.environment = fleet, environment

    def ask(self, method, path, body=None, attempts=8):
        """Send an operator's request to the keepers, with retries until one answers."""
        random = self.fleet.random
        for _attempt in range(attempts):
            url = f"http://{random.choice(self.fleet.http('keep'))}{path}"
            try:
                for _redirect in range(4):
                    response = self.environment.web.send(method, url, body, read=2.0)
                    status, response_body = response.status, response.body()
                    if status != 307:
                        break
                    url = response.headers.get("location")
                if status not in (503, 307):
                    return status, response_body
            except network.http_client.ExchangeError:
                pass
            self.environment.sleep(0.4)
        return 0, {}

    def apply(self, order_id, base=None, body=None, attempts=8):
        """Write a configuration document; the outcome is recorded for the judge."""
        order_id += self.fleet.id_suffix
        if base is None:
            status, response_body = self.ask("GET", "/configuration")
            if status != 200:
                return
            base = response_body["latest"]
        body = body or real_fleet.document(self.fleet.deployment, note=order_id)
        status, response_body = self.ask(
            "PUT", "/configuration", {"base": base, "document": body, "id": order_id, "by": "sim"}, attempts
        )
        if status == 200:
            self.fleet.writes.append(
                {"id": order_id, "sequence": response_body["sequence"], "acked": self.fleet.loop.time, "base": base}
            )
        elif status == 409:
            self.fleet.refused.append(order_id)
        else:
            self.fleet.unknown.append(order_id)
