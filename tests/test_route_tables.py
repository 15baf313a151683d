"""Route tables shared by threads while the configuration changes."""

import mothshed.data_plane.routes as routes


def document(name):
    return {"routes": [{"name": name, "host": "h", "prefix": "/"}], "tenants": {}}


class InterruptedTables(routes.RouteTables):
    """Once armed, simulates another thread that asks for the next table after each attribute assignment."""

    armed = False

    def __setattr__(self, name, value):
        super().__setattr__(name, value)
        if self.armed:
            type(self).armed = False
            self.table_for(2, document("new"))
            type(self).armed = name != "sequence"


def test_table_for_returns_the_requested_sequence_while_another_thread_requests_the_next():
    tables = InterruptedTables()
    InterruptedTables.armed = True
    assert tables.table_for(1, document("old")).match("h", "/")["name"] == "old"
    InterruptedTables.armed = False
    assert tables.table_for(2, document("new")).match("h", "/")["name"] == "new"
