"""An HTTP/3 client that rests neither on our library nor on aioquic."""

import asyncio

import niquests

from tests.support.cases import FIRST_NOTE
from tests.support.cases import start as start_deployment


def use_service(address, authorities):
    """Make a request, an upload and a stream; return what came."""
    base = f"https://localhost:{address[1]}"
    with niquests.Session(
        resolver=f"in-memory://default/?hosts=localhost:{address[0]}",
        disable_http1=True,
        disable_http2=True,
    ) as client:
        client.quic_cache_layer.add_domain("localhost", address[1], address[1])
        booked = client.post(
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
    return booked, photo, lines


class TestOtherClient:
    async def test_request_upload_and_stream(self, deployment):
        assert "service dispatch" in FIRST_NOTE
        await start_deployment(deployment, dispatch=2, balancers=3)
        address = deployment.address("dispatch")
        booked, photo, lines = await asyncio.to_thread(
            use_service, address, deployment.authorities
        )
        assert booked.status_code == 200
        assert booked.http_version == 30
        assert booked.headers["bilberrypath-outcome"] == "answered"
        assert b"POST /rides other-1 3" in booked.content
        assert photo.content == b"x" * 2_000_000
        assert sum(line.startswith(b"id: ") for line in lines) >= 3
