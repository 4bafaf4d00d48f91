import json

import pytest

from bilberrypath.coordination.flow_events import UpstreamLeft, UpstreamReport
from bilberrypath.platform.upstream_reports import (
    handle_ready_request,
    handle_report_request,
)
from bilberrypath.transport.http_server import HttpRequest

BEAT = {
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
def fed():
    return []


def put(fed, body, path="/v1/instances/i-7f3a91c2"):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return handle_report_request(fed.append, HttpRequest("PUT", path, body))


class TestReports:
    def test_are_mapped_to_our_names(self, fed):
        assert put(fed, BEAT).status == 200
        assert fed == [
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

    def test_of_a_draining_server(self, fed):
        put(fed, BEAT | {"state": "draining"})
        assert fed[0].draining

    def test_without_a_start(self, fed):
        put(fed, {k: v for k, v in BEAT.items() if k != "born"})
        assert fed[0].started_at == 0

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
        ],
    )
    def test_from_another_writer_name_no_server(self, fed, change):
        response = put(fed, BEAT | change)
        assert response.status == 400
        assert b"error" in response.body
        assert fed == []

    @pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"[]", b"{"])
    def test_that_can_not_be_read_name_no_server(self, fed, body):
        assert put(fed, body).status == 400
        assert fed == []

    def test_of_a_server_that_ends(self, fed):
        request = HttpRequest("DELETE", "/v1/instances/i-1", b"")
        assert handle_report_request(fed.append, request).status == 200
        assert fed == [UpstreamLeft("i-1")]

    @pytest.mark.parametrize(
        ("method", "path", "status"),
        [("GET", "/v1/instances/i-1", 405), ("PUT", "/v1/other", 404)],
    )
    def test_other_calls_are_refused(self, fed, method, path, status):
        request = HttpRequest(method, path, b"")
        assert handle_report_request(fed.append, request).status == status


class TestReady:
    @pytest.mark.parametrize(("ready", "status"), [(True, 200), (False, 503)])
    def test_is_as_the_process_says(self, ready, status):
        request = HttpRequest("GET", "/v1/ready", b"")
        assert handle_ready_request(lambda: ready, request).status == status

    def test_other_paths_are_not_found(self):
        request = HttpRequest("GET", "/", b"")
        assert handle_ready_request(lambda: True, request).status == 404
