"""Control a stand-in from a test by JSON commands over UDP on loopback."""

import asyncio
import json
import socket


class RemoteControl(asyncio.DatagramProtocol):
    """Call ``handle(op, fields)`` for each command; send what it returns as JSON."""

    def __init__(self, handle):
        self._handle = handle

    def connection_made(self, transport):
        self._transport = transport

    def datagram_received(self, data, addr):
        fields = json.loads(data)
        answer = self._handle(fields.pop("op"), fields)
        self._transport.sendto(json.dumps(answer or {}).encode(), addr)


async def serve_control(address, handle):
    """Receive commands at ``address`` for as long as the event loop runs."""
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: RemoteControl(handle), local_addr=address
    )


def command(address, op, tries=20, **fields):
    """Send a command and return its answer; raise TimeoutError without one.

    The command is sent ``tries`` times, each with 0.25 s for the answer, so that a
    stand-in that is still starting is reached. It may thus run more than once.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.settimeout(0.25)
        for _ in range(tries):
            try:
                sock.sendto(json.dumps({"op": op, **fields}).encode(), address)
                return json.loads(sock.recv(65536))
            except OSError:
                continue
    raise TimeoutError(
        f"stand-in at {address} did not answer {op!r} in {tries} tries of 0.25 s; "
        "check its log"
    )
