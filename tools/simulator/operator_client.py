"""The simulated operator: questions to the keepers and writes of configurations."""

import tools.fleet as real_fleet
import tools.simulator.network as network


class OperatorClient:
    """Calls the keepers of a simulated fleet from a machine that no fault touches."""

    def __init__(self, fleet, environment):
        self.fleet, self.environment = fleet, environment

    def ask(self, method, path, body=None, most=8):
        """One operator's question to the keepers, tried until answered."""
        chance = self.fleet.random
        for _turn in range(most):
            url = f"http://{chance.choice(self.fleet.http('keep'))}{path}"
            try:
                for _hop in range(4):
                    response = self.environment.web.send(method, url, body, read=2.0)
                    status, said = response.status, response.body()
                    if status != 307:
                        break
                    url = response.headers.get("location")
                if status not in (503, 307):
                    return status, said
            except network.http_client.ExchangeError:
                pass
            self.environment.sleep(0.4)
        return 0, {}

    def apply(self, mark, base=None, body=None, most=8):
        """Writes a document; the end is recorded for the judge."""
        mark += self.fleet.turn
        if base is None:
            status, said = self.ask("GET", "/configuration")
            if status != 200:
                return
            base = said["latest"]
        body = body or real_fleet.document(self.fleet.deployment, note=mark)
        status, said = self.ask(
            "PUT", "/configuration", {"base": base, "document": body, "id": mark, "by": "sim"}, most
        )
        if status == 200:
            self.fleet.writes.append(
                {"id": mark, "sequence": said["sequence"], "acked": self.fleet.loop.time, "base": base}
            )
        elif status == 409:
            self.fleet.refused.append(mark)
        else:
            self.fleet.unknown.append(mark)
