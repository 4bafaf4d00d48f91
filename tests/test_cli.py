"""The command line: help, exit codes and truthful words."""

import pytest

from bilberrypath import cli
from tests.standins.key_value import serve
from tests.support.deployment import PEER_KEY

NOTE = "[added]\ndata centre a = in\nservice s = port 9443, data centres a\n"


def run(capsys, *arguments):
    """Run a command; return its exit code and what it printed."""
    with pytest.raises(SystemExit) as ended:
        cli.main(list(arguments))
    captured = capsys.readouterr()
    return ended.value.code, captured.out + captured.err


@pytest.fixture
def operator(tmp_path):
    """An operator's settings file for a service at an address of its own."""
    path = tmp_path / "operator.ini"
    path.write_text(
        f"[store]\naddress = 127.59.0.1:2379\n[keys]\npeer_key = {PEER_KEY}\n"
        "[operator]\nbalancers =\n"
    )
    return str(path)


class TestCommands:
    def test_help_names_the_commands(self, capsys):
        code, said = run(capsys, "--help")
        assert code == 0
        for command in ("balancer", "agent", "check-settings", "release", "call"):
            assert command in said

    def test_wrong_usage(self, capsys):
        assert run(capsys, "relase")[0] == cli.EXIT_USAGE

    def test_draft_is_a_note(self, capsys):
        code, said = run(capsys, "release", "draft")
        assert code == 0
        assert "[withdrawn]" in said

    def test_missing_settings(self, capsys):
        code, said = run(capsys, "balancer", "--settings", "/no/such.ini")
        assert code == cli.EXIT_INVALID_INPUT
        assert "/no/such.ini" in said

    def test_faults_of_a_note(self, capsys, tmp_path, operator):
        note = tmp_path / "note.ini"
        note.write_text("[added]\nservice x = 1\n")
        code, said = run(capsys, "release", "check", str(note), "--settings", operator)
        assert code == cli.EXIT_INVALID_INPUT
        assert "expected 'port NUMBER" in said

    def test_bad_address(self, capsys):
        code, said = run(capsys, "call", "nowhere", "/")
        assert code == cli.EXIT_USAGE
        assert "expected HOST:PORT" in said

    def test_service_that_does_not_answer(self, capsys, operator):
        code, said = run(capsys, "release", "show", "--settings", operator)
        assert code == cli.EXIT_UNREACHABLE
        assert "cannot read the release store" in said


class TestReleaseCommands:
    async def test_accept_show_and_conflict(self, tmp_path, deployment):
        deployment.store_host = "127.58.0.1"
        _, server = await serve(*deployment.store)
        try:
            code, said = await deployment.accept(NOTE)
            assert (code, said) == (0, "accepted as revision 1\n")
            code, said = await deployment.accept(NOTE)
            assert code == cli.EXIT_INVALID_INPUT
            assert "exists already" in said
            code, said = await deployment.operate("show", "--json")
            assert '"revision":1' in said
            code, said = await deployment.operate("history")
            assert "added: service s port 9443 in a" in said
            code, said = await deployment.operate("status")
            assert code == cli.EXIT_UNREACHABLE
        finally:
            await server.stop(None)
