"""A consensus group whose commands refer to large documents, which members fetch from each other in pieces.

After every step each member must hold the documents to which its log and its state refer; a command is applied only
where its document is.
"""

import mothshed.configuration.packed_document as packed_document
import mothshed.control_plane.document_rows as document_rows
import mothshed.control_plane.document_server as document_server
import mothshed.control_plane.earlier_documents as earlier_documents
import mothshed.storage.document_store as document_store
import tests.all_orders as all_orders
import tests.group_model as group_model

RETAINED_DOCUMENTS = 2  # by the state machine


class PostingEnvironment(all_orders.ManualEnvironment):
    """Runs posted callbacks at once."""

    def post(self, callback):
        callback()


class DocumentRecorder(group_model.Recorder):
    """Records commands, and keeps the newest documents."""

    commands = frozenset({"note", "stage_packed"})

    def __init__(self, history, store):
        super().__init__(history)
        self.store, self.docs = store, {}

    def apply(self, index, command):
        result = super().apply(index, command)
        if command["op"] == "stage_packed":
            reference = document_rows.reference_of(command)
            assert self.store.get(reference.digest), f"a document is missing at index {index}"
            self.rows.append(command["n"])
            self.docs[index] = {"document": command["document"]}
            self.docs = dict(sorted(self.docs.items())[-RETAINED_DOCUMENTS:])
        return result

    def dump(self):
        return {"rows": list(self.rows), "docs": sorted(self.docs.items())}

    def restore(self, state):
        super().restore(state)
        self.docs = {int(index): row for index, row in state["docs"]}

    def references(self, state):
        return [document_rows.reference_of(row) for _index, row in state["docs"]]


def packed(number):
    """A document of a few pieces."""
    return packed_document.pack({"text": [f"{number}/{row}" for row in range(number % 7 + 1)], "as_sent": number})


class DocumentGroup(group_model.Group):
    """The group of `group_model`, every second of whose writes refers to a document."""

    environment_class = PostingEnvironment

    def member_parts(self, name):
        self.stores = getattr(self, "stores", {})
        self.stores[name] = store = document_store.DocumentStore(self.disks[name], packed_document.digest_of)
        return DocumentRecorder(self.history, store), store

    def boot(self, name):
        super().boot(name)
        member = self.members[name]
        document_server.DocumentServer(member.environment, self.stores[name])
        earlier_documents.convert(member, self.stores[name])  # raises if a document is missing

    def command(self, name, number):
        if number % 2:
            return super().command(name, number)
        reference, data = packed(number)
        self.stores[name].put(reference.digest, data)
        return {"op": "stage_packed", "n": number, "document": reference.to_wire()}

    def check(self):
        super().check()
        for name, member in self.members.items():
            rows = [*(entry["c"] for entry in member.log.entries), *member.machine.docs.values()]
            for reference in filter(None, map(document_rows.reference_of, rows)):
                assert name in self.down or self.stores[name].get(reference.digest), f"a document is missing at {name}"

    def finish(self):
        super().finish()
        for name, member in self.members.items():
            member.take_snapshot()
            names = {n for n in self.disks[name].names() if n.startswith(document_store.PREFIX)}
            assert names == {document_store.PREFIX + digest for digest in self.stores[name].blobs}
            kept = [document_rows.stored_document(row, self.stores[name]) for row in member.machine.docs.values()]
            assert [document.as_sent_json() for document in kept] == [
                str(n).encode() for n in [n for n in member.machine.rows if n % 2 == 0][-RETAINED_DOCUMENTS:]
            ]
