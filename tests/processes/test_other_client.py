"""An HTTP/3 client that uses neither bilberrypath's caller library nor aioquic."""

import asyncio

import niquests

from tests.support.cases import FIRST_NOTE
from tests.support.cases import start as start_deployment


def send_requests(address, authorities):
    """Send a request, an upload and a stream; return both replies and the lines."""
    base = f"https://localhost:{address[1]}"
    with niquests.Session(
        resolver=f"in-memory://default/?hosts=localhost:{address[0]}",
        disable_http1=True,
        disable_http2=True,
    ) as client:
        client.quic_cache_layer.add_domain("localhost", address[1], address[1])
        booking = client.post(
            f"{base}/rides",
            data=b"two",
            headers={"idempotency-key": "other-1"},
            verify=authorities,
        )
        photo = client.post(f"{base}/echo", data=b"p" * 2_000_000, verify=authorities)
        board = client.get(
            f"{base}/board",
            headers={"accept": "text/event-stream"},
            stream=True,
            verify=authorities,
        )
        lines = []
        for line in board.iter_lines():
            lines.append(line)
            if len(lines) >= 9:
                break
    return booking, photo, lines


class TestOtherClient:
    async def test_request_upload_and_stream(self, deployment):
        assert "service dispatch" in FIRST_NOTE
        await start_deployment(deployment, dispatch=2, balancers=3)
        address = deployment.address("dispatch")
        booking, photo, lines = await asyncio.to_thread(
            send_requests, address, deployment.authorities
        )
        assert booking.status_code == 200
        assert booking.http_version == 30
        assert booking.headers["bilberrypath-outcome"] == "answered"
        assert b"POST /rides other-1 3" in booking.content
        assert photo.content == b"x" * 2_000_000
        assert sum(line.startswith(b"id: ") for line in lines) >= 3
