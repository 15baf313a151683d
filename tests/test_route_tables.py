"""The table of routes that threads share while the configuration changes."""

import mothshed.data_plane.routes as routes


def document(name):
    return {"routes": [{"name": name, "host": "h", "prefix": "/"}], "tenants": {}}


class InterruptedTables(routes.RouteTables):
    """Once armed, another thread asks for the next document's table right after each attribute is set."""

    armed = False

    def __setattr__(self, name, value):
        super().__setattr__(name, value)
        if self.armed:
            type(self).armed = False
            self.table_for(2, document("new"))
            type(self).armed = name != "sequence"


def test_config_a_table_is_that_of_the_sequence_asked_for_while_another_thread_asks_for_the_next():
    tables = InterruptedTables()
    InterruptedTables.armed = True
    assert tables.table_for(1, document("old")).match("h", "/")["name"] == "old"
    InterruptedTables.armed = False
    assert tables.table_for(2, document("new")).match("h", "/")["name"] == "new"
