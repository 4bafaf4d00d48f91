import pytest

from bilberrypath.state.former_services import FORMER_SERVICE_TTL, FormerServices

ENDPOINT = b"endpoint"


@pytest.fixture
def former():
    former = FormerServices()
    former.record(ENDPOINT, ["board", "canary"])
    return former


class TestFormerServices:
    def test_services_are_listed_at_once(self, former):
        assert former.list(ENDPOINT) == ("board", "canary")
        assert former.list(b"other") == ()

    def test_services_are_forgotten_after_the_longest_life_of_a_flow(self, former):
        former.tick(5.0)
        former.tick(5.0 + FORMER_SERVICE_TTL - 0.1)
        assert former.list(ENDPOINT) == ("board", "canary")
        former.tick(5.0 + FORMER_SERVICE_TTL)
        assert former.list(ENDPOINT) == ()

    def test_service_that_left_again_is_kept_for_longer(self, former):
        former.tick(0.0)
        former.record(ENDPOINT, ["board"])
        former.tick(10.0)
        former.tick(FORMER_SERVICE_TTL)
        assert former.list(ENDPOINT) == ("board",)
        former.tick(FORMER_SERVICE_TTL + 10.0)
        assert former.list(ENDPOINT) == ()

    def test_service_that_left_twice_between_two_ticks_is_forgotten_once(self, former):
        """Guard against an error at its end that stops all that a tick does."""
        former.record(ENDPOINT, ["board"])
        former.tick(0.0)
        former.tick(FORMER_SERVICE_TTL)
        assert former.list(ENDPOINT) == ()
        assert len(former) == 0
