"""Tests of the command line: its help, exit codes and messages."""

import pytest

from bilberrypath import cli
from tests.standins.key_value import serve
from tests.support.deployment import PEER_KEY

NOTE = "[added]\ndata centre a = in\nservice s = port 9443, data centres a\n"


def run(capsys, *arguments):
    """Run a command, and return its exit code and what it printed."""
    with pytest.raises(SystemExit) as exit_info:
        cli.main(list(arguments))
    captured = capsys.readouterr()
    return exit_info.value.code, captured.out + captured.err


@pytest.fixture
def operator(tmp_path):
    """Return an operator's settings file, for a store at an address of its own."""
    path = tmp_path / "operator.ini"
    path.write_text(
        f"[store]\naddress = 127.59.0.1:2379\n[keys]\npeer_key = {PEER_KEY}\n"
        "[operator]\nbalancers =\n"
    )
    return str(path)


class TestCommands:
    def test_help_names_the_commands(self, capsys):
        code, output = run(capsys, "--help")
        assert code == 0
        for command in ("balancer", "agent", "check-settings", "release", "call"):
            assert command in output

    def test_unknown_command_is_a_usage_error(self, capsys):
        assert run(capsys, "relase")[0] == cli.EXIT_USAGE

    def test_draft_is_a_release_note(self, capsys):
        code, output = run(capsys, "release", "draft")
        assert code == 0
        assert "[withdrawn]" in output

    def test_missing_settings_file_is_an_error(self, capsys):
        code, output = run(capsys, "balancer", "--settings", "/no/such.ini")
        assert code == cli.EXIT_INVALID_INPUT
        assert "/no/such.ini" in output

    def test_errors_of_a_note_are_printed(self, capsys, tmp_path, operator):
        note = tmp_path / "note.ini"
        note.write_text("[added]\nservice x = 1\n")
        code, output = run(
            capsys, "release", "check", str(note), "--settings", operator
        )
        assert code == cli.EXIT_INVALID_INPUT
        assert "expected 'port NUMBER" in output

    def test_term_out_of_range_is_printed_with_the_remedy(
        self, capsys, tmp_path, operator
    ):
        note = tmp_path / "note.ini"
        note.write_text(
            "[added]\nservice x = port 80, data centres a, priority 2, timeout 9000\n"
        )
        code, output = run(
            capsys, "release", "check", str(note), "--settings", operator
        )
        assert code == cli.EXIT_INVALID_INPUT
        assert output == (
            "[added] service 'x': timeout is '9000', expected a number of seconds "
            "above 0, up to 3600; correct it, or leave it out for the default\n"
        )

    def test_invalid_address_is_a_usage_error(self, capsys):
        code, output = run(capsys, "call", "nowhere", "/")
        assert code == cli.EXIT_USAGE
        assert "expected HOST:PORT" in output

    def test_unreachable_store_is_reported(self, capsys, operator):
        code, output = run(capsys, "release", "show", "--settings", operator)
        assert code == cli.EXIT_UNREACHABLE
        assert "cannot read the release store" in output


class TestReleaseCommands:
    async def test_accept_show_and_conflict(self, tmp_path, deployment):
        deployment.store_host = "127.58.0.1"
        _, server = await serve(*deployment.store)
        try:
            code, output = await deployment.accept(NOTE)
            assert (code, output) == (0, "accepted as revision 1\n")
            code, output = await deployment.accept(NOTE)
            assert code == cli.EXIT_INVALID_INPUT
            assert "exists already" in output
            code, output = await deployment.operate("show", "--json")
            assert '"revision":1' in output
            code, output = await deployment.operate("history")
            assert "added: service s port 9443 in a" in output
            code, _ = await deployment.accept(
                "[changed]\nservice s = port 9443, data centres a, priority 2\n"
            )
            code, output = await deployment.operate("show")
            assert "priority 2, latency_objective 1, timeout 10" in output
            code, output = await deployment.operate("show", "--json")
            assert '"terms":{"priority":2,"latency_objective":1.0' in output
            code, output = await deployment.operate("status")
            assert code == cli.EXIT_UNREACHABLE
        finally:
            await server.stop(None)
