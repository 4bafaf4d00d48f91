import json

import pytest

from bilberrypath.coordination.flow_events import UpstreamLeft, UpstreamReport
from bilberrypath.platform.upstream_reports import (
    handle_ready_request,
    handle_report_request,
)
from bilberrypath.transport.http_server import HttpRequest

HEARTBEAT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "ege-a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "coldRemainingMs": 1500,
    "seq": 4,
    "born": 1700000000123,
}


@pytest.fixture
def events():
    return []


def call(events, request, error=None):
    return handle_report_request(events.append, lambda report: error, request)


def put_report(events, body, path="/v1/instances/i-7f3a91c2", error=None):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return call(events, HttpRequest("PUT", path, body), error)


class TestReports:
    def test_report_is_mapped_to_an_event(self, events):
        assert put_report(events, HEARTBEAT).status == 200
        assert events == [
            UpstreamReport(
                "i-7f3a91c2",
                1700000000123,
                4,
                "huvo11a",
                ("10.128.0.9", 8080),
                "ege-a",
                3,
                False,
                1.5,
            )
        ]

    def test_report_of_a_draining_upstream(self, events):
        put_report(events, HEARTBEAT | {"state": "draining"})
        assert events[0].draining

    @pytest.mark.parametrize("name", HEARTBEAT)
    def test_report_without_a_field_is_refused(self, events, name):
        """Guard against a missing start time that passes for a very early one."""
        response = put_report(events, {k: v for k, v in HEARTBEAT.items() if k != name})
        assert response.status == 400
        assert name.encode() in response.body
        assert events == []

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "asleep"},
            {"slots": 0},
            {"slots": "3"},
            {"service": ""},
            {"address": "here"},
            {"address": 7},
            {"seq": None},
            {"born": 0},
            {"born": None},
        ],
    )
    def test_report_with_an_invalid_field_is_refused(self, events, change):
        response = put_report(events, HEARTBEAT | change)
        assert response.status == 400
        assert b"error" in response.body
        assert events == []

    @pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"[]", b"{"])
    def test_unreadable_report_is_refused(self, events, body):
        assert put_report(events, body).status == 400
        assert events == []

    def test_delete_is_mapped_to_an_event(self, events):
        request = HttpRequest("DELETE", "/v1/instances/i-1", b"")
        assert call(events, request).status == 200
        assert events == [UpstreamLeft("i-1")]

    @pytest.mark.parametrize(
        ("method", "path", "status"),
        [("GET", "/v1/instances/i-1", 405), ("PUT", "/v1/other", 404)],
    )
    def test_other_methods_and_paths_are_refused(self, events, method, path, status):
        request = HttpRequest(method, path, b"")
        assert call(events, request).status == status

    def test_report_that_the_core_rejects_is_not_acknowledged(self, events):
        response = put_report(events, HEARTBEAT, error="service 'x' is not known")
        assert response.status == 400
        assert json.loads(response.body) == {"error": "service 'x' is not known"}


class TestReady:
    @pytest.mark.parametrize(("ready", "status"), [(True, 200), (False, 503)])
    def test_status_follows_the_readiness(self, ready, status):
        request = HttpRequest("GET", "/v1/ready", b"")
        assert handle_ready_request(lambda: ready, request).status == status

    def test_other_paths_are_not_found(self):
        request = HttpRequest("GET", "/", b"")
        assert handle_ready_request(lambda: True, request).status == 404
