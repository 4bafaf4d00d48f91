"""Tests that settings are checked as a whole, and errors name what was expected."""

import pytest

from bilberrypath.settings import (
    SettingsError,
    check_settings,
    load_agent_settings,
    load_balancer_settings,
)

VALID_SETTINGS = """\
[node]
peer_address = 127.0.0.1:7000
data_centre = citybowl
seeds = 127.0.0.2:7000 127.0.0.3:7000
[keys]
token_keys = 1:000102030405060708090a0b0c0d0e0f
active_token_key = 1
peer_key = {peer_key}
[balancer]
listen_host = 127.0.0.1
""".format(peer_key="11" * 32)
INVALID_SETTINGS = """\
[node]
peer_address = nowhere:7000
seeds = 127.0.0.2
colour = blue
[keys]
token_keys = 1:00
active_token_key = 4
peer_key = 11
[agent]
service = dispatch
upstream = 127.0.0.1:99999
slots = none
certificate = /no/such/file
[walls]
height = 3
"""


@pytest.fixture
def write(tmp_path):
    """Return a function that writes a settings file and returns its path."""

    def write_file(text):
        path = tmp_path / "settings.ini"
        path.write_text(text)
        return str(path)

    return write_file


class TestSettings:
    def test_valid_file_is_read(self, write):
        settings = load_balancer_settings(write(VALID_SETTINGS))
        assert settings.node.peer_address == ("127.0.0.1", 7000)
        assert len(settings.node.seeds) == 2
        assert check_settings(write(VALID_SETTINGS)) == []

    def test_all_errors_are_reported_at_once(self, write, snapshot):
        with pytest.raises(SettingsError) as error_info:
            load_agent_settings(write(INVALID_SETTINGS))
        assert "\n".join(str(error) for error in error_info.value.errors) == snapshot

    def test_active_key_must_be_among_the_keys(self, write):
        found_errors = check_settings(
            write(
                VALID_SETTINGS.replace("active_token_key = 1", "active_token_key = 9")
            )
        )
        assert [str(error) for error in found_errors] == [
            "[keys] active_token_key = '9': expected one of 1"
        ]

    @pytest.mark.parametrize("text", ["", "[walls]\n", "no section"])
    def test_file_without_a_process_is_an_error(self, write, text):
        try:
            found_errors = check_settings(write(text))
        except SettingsError as error:
            found_errors = error.errors
        assert found_errors

    def test_missing_file_is_an_error(self):
        with pytest.raises(SettingsError, match="a file: "):
            load_balancer_settings("/no/such/file.ini")
