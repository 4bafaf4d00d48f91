"""Commands about datagram flows: how a process stands, where a flow is."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from rich.console import Console

from bilberrypath.protocol.flow_messages import to_address
from bilberrypath.protocol.flow_packet import pack_flow
from bilberrypath.settings_reader import to_address as check_address
from bilberrypath.transport.bulk_calls import (
    CallFailed,
    StatusReply,
    StatusRequest,
    call_bulk,
)

if TYPE_CHECKING:
    from bilberrypath.types import Address

EXIT_DONE = 0
EXIT_USAGE = 2
EXIT_UNREACHABLE = 5
MAX_STEPS = 4  # processes asked on the way to a flow's holder
_out = Console(soft_wrap=True, highlight=False)
_err = Console(stderr=True, soft_wrap=True, highlight=False)


def process(peer: str, *, json: bool = False) -> int:
    """Show how a balancer or an agent of datagram flows stands.

    :param peer: IP:PORT of its peer socket
    :param json: print JSON, for programs
    """
    address = _read_address(peer)
    if address is None:
        return EXIT_USAGE
    reply = _ask(address, b"")
    if reply is None:
        return EXIT_UNREACHABLE
    _say(reply, json)
    return EXIT_DONE


def flow(client: str, address: str, *, peer: str, json: bool = False) -> int:
    """Follow a flow from a process that may know it to its holder.

    :param client: IP:PORT of the client's end
    :param address: IP:PORT that the client sends to
    :param peer: IP:PORT of the peer socket of a balancer or an agent
    :param json: print JSON, for programs
    """
    ends = [_read_address(text) for text in (client, address, peer)]
    if None in ends:
        return EXIT_USAGE
    key = pack_flow(ends[0], ends[1])
    asked = ends[2]
    for _ in range(MAX_STEPS):
        reply = _ask(asked, key)
        if reply is None:
            return EXIT_UNREACHABLE
        reply = StatusReply({"asked": f"{asked[0]}:{asked[1]}"} | reply.values, {})
        _say(reply, json)
        holder = reply.values.get("holder")
        if holder in (None, reply.values["asked"]):
            return EXIT_DONE
        asked = to_address(str(holder))
    return EXIT_DONE


def _read_address(text: str) -> Address | None:
    try:
        return check_address(text)
    except ValueError:
        _err.print(f"{text!r} is not an address; expected IP:PORT", markup=False)
        return None


def _ask(peer: Address, key: bytes) -> StatusReply | None:
    try:
        return asyncio.run(call_bulk(peer, StatusRequest(key), StatusReply))
    except CallFailed as error:
        _err.print(f"no answer: {error}; is it the peer socket?", markup=False)
        return None


def _say(reply: StatusReply, as_json: bool) -> None:
    if as_json:
        whole = {**reply.values, **reply.lists}
        print(msgspec.json.encode(whole).decode())
        return
    for name, value in reply.values.items():
        _out.print(f"{name}: {value}", markup=False)
    for name, rows in reply.lists.items():
        _out.print(f"{name}: {len(rows)}", markup=False)
        for row in rows:
            _out.print(f"  {row}", markup=False)
