from pathlib import Path

import pytest

from bilberrypath.flow_settings import (
    load_flow_agent_settings,
    load_flow_balancer_settings,
)
from bilberrypath.settings import SettingsError

BALANCER = """
[node]
peer_address = 10.1.0.10:7720
data_centre = wc-a
seeds = 10.1.0.10:8166,10.2.0.40:8166
ready_address = 10.1.0.10:8167
client_port = 10.1.0.10:8172
metrics_address = 10.1.0.10:7721
[flow_balancer]
packet_address = 10.1.0.10:8172
[store]
address = 10.200.1.7:8169
"""
AGENT = """
[node]
peer_address = 10.1.0.12:7720
data_centre = wc-a
seeds =
ready_address = 10.1.0.12:8167
client_port = 8172
[flow_agent]
service = huvo11a
upstream = 10.1.0.12:8165
outbound = 10.1.0.12:8162
report_address = 10.1.0.12:8166
report_period = 1200
flow_lifetime = 60
first_start = true
"""


@pytest.fixture
def write(tmp_path):
    def write_file(text):
        path = Path(tmp_path) / "node.ini"
        path.write_text(text)
        return str(path)

    return write_file


class TestBalancer:
    def test_valid_balancer_settings_are_read(self, write):
        settings = load_flow_balancer_settings(write(BALANCER))
        assert settings.node.seeds == (("10.1.0.10", 7720), ("10.2.0.40", 7720))
        assert settings.node.client_port == 8172
        assert settings.packet_address == ("10.1.0.10", 8172)
        assert settings.store_address == ("10.200.1.7", 8169)


class TestAgent:
    def test_valid_agent_settings_are_read(self, write):
        settings = load_flow_agent_settings(write(AGENT))
        assert settings.node.seeds == ()
        assert settings.node.metrics_address is None
        assert settings.report_period == 1.2
        assert settings.flow_lifetime == 60.0
        assert settings.first_start
        assert not settings.spillover

    def test_spillover_is_read(self, write):
        """Guard against a setting that is accepted but not read."""
        settings = load_flow_agent_settings(write(AGENT + "spillover = true\n"))
        assert settings.spillover

    def test_spillover_is_true_or_false(self, write):
        """Guard against a misspelt value that is taken for the default."""
        with pytest.raises(SettingsError, match="spillover = 'on': expected true or"):
            load_flow_agent_settings(write(AGENT + "spillover = on\n"))

    def test_all_errors_are_reported_at_once(self, write):
        text = AGENT.replace("8165", "99999").replace("= true", "= perhaps")
        with pytest.raises(SettingsError) as error_info:
            load_flow_agent_settings(write(text + "colour = red\n"))
        message = str(error_info.value)
        assert "upstream = '10.1.0.12:99999': expected IP:PORT" in message
        assert "first_start = 'perhaps': expected true or false" in message
        assert "colour = 'red': expected one of the keys" in message
        assert len(error_info.value.errors) == 3
