"""`mothshed key ...`: what it prints, what it sends to keepers, and with which exit code it ends."""

import io
import json
import types

import cappa
import pytest

import mothshed.configuration.document as configuration
import mothshed.configuration.tenant_keys as tenant_keys
import mothshed.control_plane.operator_api as operator_api
import mothshed.programs.operate as operate
import mothshed.programs.operator_client as operator_client
import tests.fronts as fronts
import tests.operators as operators

FORMER = tenant_keys.digest_of("the former key")
KEEPER = ["--keeper", "k:1"]


@pytest.fixture
def keeper(monkeypatch):
    """A keeper called by the commands, and the requests it received; its latest document has sequence 1."""
    member = operators.FakeLeader()
    parts = operators.keeper(member)
    parts.leader_tasks = [types.SimpleNamespace(report=dict)]
    front, sent = operator_api.OperatorApi(parts), []

    def first_answer(_keepers, method, path, body=None):
        sent.append((method, path, body))
        status, _headers, said = fronts.call(front, method, path, body or b"")
        return status, said

    monkeypatch.setattr(operator_client, "first_answer", first_answer)
    tenants = {name: {**row, "rate_per_s": 5} for name, row in configuration.EXAMPLE["tenants"].items()}
    tenants["riders"]["keys"] = [FORMER]
    document = {**configuration.EXAMPLE, "tenants": tenants, "require_key": True}
    assert first_answer([], "PUT", "/configuration", {"base": 0, "document": document, "id": "first"})[0] == 200
    sent.clear()
    return types.SimpleNamespace(member=member, sent=sent, first_answer=first_answer)


def run(*words):
    """The exit code of a command."""
    try:
        cappa.invoke(operate.Mothshed, argv=list(words))
    except cappa.Exit as end:
        return end.code
    return 0


def tenants(keeper):
    machine = keeper.member.machine
    return machine.docs[machine.latest]["doc"]["tenants"]


def printed(capsys, word):
    """Return the second words of the printed lines that begin with a word."""
    return [line.split()[1] for line in capsys.readouterr().out.splitlines() if line.startswith(word + " ")]


def test_make_prints_a_new_key_each_time_and_sends_nothing(keeper, capsys):
    assert run("key", "make") == 0 and run("key", "make") == 0
    lines = [line.split() for line in capsys.readouterr().out.splitlines()]
    assert [word for word, _text in lines] == ["key", "digest"] * 2
    (key, digest), (other, _) = lines[0][1:] + lines[1][1:], lines[2][1:] + lines[3][1:]
    assert tenant_keys.digest_of(key) == digest and key != other and len(key) == 43 and keeper.sent == []


def test_digest_reads_a_key_from_standard_input_only(monkeypatch, capsys):
    monkeypatch.setattr("sys.stdin", io.StringIO("a key\n"))
    assert run("key", "digest") == 0
    assert capsys.readouterr().out.strip() == tenant_keys.digest_of("a key")
    monkeypatch.setattr("sys.stdin", io.StringIO(""))
    assert run("key", "digest") == 2
    assert run("key", "digest", "a key") == 2


def test_add_keeps_the_former_key_and_changes_nothing_else(keeper):
    before = json.loads(json.dumps(tenants(keeper)))
    new = tenant_keys.digest_of("the new key")
    assert run("key", "add", "riders", new, *KEEPER) == 0
    assert tenants(keeper) == {**before, "riders": {**before["riders"], "keys": [FORMER, new]}}
    assert [method for method, *_rest in keeper.sent] == ["GET", "PATCH"] and keeper.sent[1][2]["base"] == 1


def test_remove_removes_only_the_given_key(keeper, capsys):
    new = tenant_keys.digest_of("the new key")
    assert run("key", "add", "riders", new, *KEEPER) == 0
    assert run("key", "remove", "riders", FORMER, *KEEPER) == 0
    assert tenants(keeper)["riders"]["keys"] == [new] and "no key left" not in capsys.readouterr().err
    assert run("key", "remove", "riders", new, *KEEPER) == 0
    assert tenants(keeper)["riders"]["keys"] == [] and "no key left" in capsys.readouterr().err


def test_rotate_shows_the_new_key_and_keeps_the_former_one_until_it_is_removed(keeper, capsys):
    assert run("key", "rotate", "riders", *KEEPER) == 0
    out = capsys.readouterr().out
    rows = dict(line.split() for line in out.splitlines() if line.startswith(("key ", "digest ", "former ")))
    assert tenants(keeper)["riders"]["keys"] == [FORMER, rows["digest"]] and rows["former"] == FORMER
    assert tenant_keys.digest_of(rows["key"]) == rows["digest"]
    assert rows["key"] not in repr(keeper.sent) and rows["key"] not in repr(keeper.member.machine.docs)
    assert run("key", "remove", "riders", FORMER, *KEEPER) == 0
    assert tenants(keeper)["riders"]["keys"] == [rows["digest"]]


def test_list_shows_digests_and_limits(keeper, capsys):
    assert run("key", "list", *KEEPER) == 0
    said = json.loads(capsys.readouterr().out)
    assert said["sequence"] == 1 and said["tenants"]["riders"] == {"share": 1, "rate_per_s": 5, "keys": [FORMER]}


@pytest.mark.parametrize(
    "words",
    [
        ["add", "nobody", tenant_keys.digest_of("x")],
        ["add", "riders", FORMER],
        ["add", "repair", FORMER],
        ["add", "riders", "a key given by mistake"],
        ["add", "riders", FORMER + "\n"],
        ["remove", "riders", tenant_keys.digest_of("x")],
        ["remove", "repair", FORMER],
        ["rotate", "nobody"],
    ],
    ids=[
        "no tenant",
        "held already",
        "held by another",
        "a key",
        "a line",
        "not held",
        "held by another one",
        "nobody",
    ],
)
def test_invalid_commands_change_nothing_and_print_no_key(keeper, capsys, words):
    assert run("key", *words, *KEEPER) == 2
    assert keeper.member.machine.latest == 1
    shown = capsys.readouterr()
    assert "given by mistake" not in shown.out + shown.err and printed(capsys, "key") == []


def test_a_concurrent_change_ends_the_command_with_5(keeper, monkeypatch, capsys):
    def change_concurrently(keepers, method, path, body=None):
        if method == "PATCH":
            other = {"put": {"tenants": {"others": {"share": 1}}}, "base": 1, "id": "other"}
            assert keeper.first_answer(keepers, "PATCH", "/configuration", other)[0] == 200
        return keeper.first_answer(keepers, method, path, body)

    monkeypatch.setattr(operator_client, "first_answer", change_concurrently)
    assert run("key", "rotate", "riders", *KEEPER) == 5
    assert tenants(keeper)["riders"]["keys"] == [FORMER] and printed(capsys, "key") == []
