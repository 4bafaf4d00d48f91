"""Commands about datagram flows: how a process stands, where a flow is."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from rich.console import Console

from bilberrypath.protocol.flow_messages import parse_address
from bilberrypath.protocol.flow_packet import pack_flow_key
from bilberrypath.settings_reader import parse_address as check_address
from bilberrypath.transport.bulk_calls import (
    CallFailed,
    FlowStatusReply,
    FlowStatusRequest,
    call_bulk,
)

if TYPE_CHECKING:
    from bilberrypath.types import Address

EXIT_DONE = 0
EXIT_USAGE = 2
EXIT_UNREACHABLE = 5
MAX_PROCESSES_ASKED = 4  # processes asked on the way to a flow's holder
_console = Console(soft_wrap=True, highlight=False)
_error_console = Console(stderr=True, soft_wrap=True, highlight=False)


def show_process(peer: str, *, json: bool = False) -> int:
    """Show how a balancer or an agent of datagram flows stands.

    :param peer: IP:PORT of its peer socket
    :param json: print JSON, for programs
    """
    address = _read_address(peer)
    if address is None:
        return EXIT_USAGE
    reply = _fetch_status(address, b"")
    if reply is None:
        return EXIT_UNREACHABLE
    _print_reply(reply, json)
    return EXIT_DONE


def follow_flow(client: str, address: str, *, peer: str, json: bool = False) -> int:
    """Follow a flow from a process that may know it to its holder.

    :param client: IP:PORT of the client's end
    :param address: IP:PORT that the client sends to
    :param peer: IP:PORT of the peer socket of a balancer or an agent
    :param json: print JSON, for programs
    """
    ends = [_read_address(text) for text in (client, address, peer)]
    if None in ends:
        return EXIT_USAGE
    key = pack_flow_key(ends[0], ends[1])
    asked = ends[2]
    for _ in range(MAX_PROCESSES_ASKED):
        reply = _fetch_status(asked, key)
        if reply is None:
            return EXIT_UNREACHABLE
        reply = FlowStatusReply({"asked": f"{asked[0]}:{asked[1]}"} | reply.values, {})
        _print_reply(reply, json)
        holder = reply.values.get("holder")
        if holder in (None, reply.values["asked"]):
            return EXIT_DONE
        asked = parse_address(str(holder))
    return EXIT_DONE


def _read_address(text: str) -> Address | None:
    try:
        return check_address(text)
    except ValueError:
        _error_console.print(
            f"{text!r} is not an address; expected IP:PORT", markup=False
        )
        return None


def _fetch_status(peer: Address, key: bytes) -> FlowStatusReply | None:
    try:
        return asyncio.run(call_bulk(peer, FlowStatusRequest(key), FlowStatusReply))
    except CallFailed as error:
        _error_console.print(
            f"no answer: {error}; is it the peer socket?", markup=False
        )
        return None


def _print_reply(reply: FlowStatusReply, as_json: bool) -> None:
    if as_json:
        whole = {**reply.values, **reply.lists}
        print(msgspec.json.encode(whole).decode())
        return
    for name, value in reply.values.items():
        _console.print(f"{name}: {value}", markup=False)
    for name, rows in reply.lists.items():
        _console.print(f"{name}: {len(rows)}", markup=False)
        for row in rows:
            _console.print(f"  {row}", markup=False)
