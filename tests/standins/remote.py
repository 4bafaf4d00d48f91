"""Steer a stand-in from a test: JSON commands over UDP on loopback."""

import asyncio
import json
import socket


class RemoteControl(asyncio.DatagramProtocol):
    """Answer commands with what a handler returns."""

    def __init__(self, handle):
        self._handle = handle

    def connection_made(self, transport):
        self._transport = transport

    def datagram_received(self, data, addr):
        command = json.loads(data)
        answer = self._handle(command.pop("op"), command)
        self._transport.sendto(json.dumps(answer or {}).encode(), addr)


async def serve_control(address, handle):
    """Listen for commands."""
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: RemoteControl(handle), local_addr=address
    )


def command(address, op, tries=20, **fields):
    """Send a command and return its answer."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.settimeout(0.25)
        for _ in range(tries):
            try:
                sock.sendto(json.dumps({"op": op, **fields}).encode(), address)
                return json.loads(sock.recv(65536))
            except OSError:
                continue
    raise TimeoutError(f"{address} did not answer {op!r}")
