"""Settings are checked whole, and each fault names what was expected."""

import pytest

from bilberrypath.settings import (
    SettingsError,
    check_settings,
    load_agent_settings,
    load_balancer_settings,
)

GOOD = """\
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
BAD = """\
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
    """Write a settings file and return its path."""

    def write_file(text):
        path = tmp_path / "settings.ini"
        path.write_text(text)
        return str(path)

    return write_file


class TestSettings:
    def test_good_file(self, write):
        settings = load_balancer_settings(write(GOOD))
        assert settings.node.peer_address == ("127.0.0.1", 7000)
        assert len(settings.node.seeds) == 2
        assert check_settings(write(GOOD)) == []

    def test_every_fault_at_once(self, write, snapshot):
        with pytest.raises(SettingsError) as caught:
            load_agent_settings(write(BAD))
        assert "\n".join(str(f) for f in caught.value.errors) == snapshot

    def test_active_key_must_be_among_the_keys(self, write):
        faults = check_settings(
            write(GOOD.replace("active_token_key = 1", "active_token_key = 9"))
        )
        assert [str(fault) for fault in faults] == [
            "[keys] active_token_key = '9': expected one of 1"
        ]

    @pytest.mark.parametrize("text", ["", "[walls]\n", "no section"])
    def test_file_of_no_process(self, write, text):
        try:
            faults = check_settings(write(text))
        except SettingsError as error:
            faults = error.errors
        assert faults

    def test_file_that_is_not_there(self):
        with pytest.raises(SettingsError, match="a file: "):
            load_balancer_settings("/no/such/file.ini")
