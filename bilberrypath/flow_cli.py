"""Commands for datagram flows: show a process, find a flow's holder, explain a flow."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from rich.console import Console

from bilberrypath.protocol.flow_messages import parse_address
from bilberrypath.protocol.flow_packet import pack_flow_key
from bilberrypath.settings_reader import parse_address as parse_ip_address
from bilberrypath.transport.bulk_calls import (
    CallFailed,
    FlowExplainReply,
    FlowExplainRequest,
    FlowStatusReply,
    FlowStatusRequest,
    call_bulk,
)

if TYPE_CHECKING:
    from bilberrypath.types import Address

EXIT_DONE = 0
EXIT_USAGE = 2
EXIT_UNREACHABLE = 5
MAX_HOPS = 4  # processes queried in turn to find a flow's holder
_stdout = Console(soft_wrap=True, highlight=False)
_stderr = Console(stderr=True, soft_wrap=True, highlight=False)


def show_process(peer: str, *, json: bool = False) -> int:
    """Show the status of a balancer or an agent of datagram flows.

    :param peer: IP:PORT of its peer socket
    :param json: print JSON
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
    """Find the holder of a flow and print what each queried process reports.

    Starts at one process and queries the holder that each reply names, until a process
    names itself or none, or ``MAX_HOPS`` processes were queried.

    :param client: IP:PORT of the client
    :param address: IP:PORT to which the client sends
    :param peer: IP:PORT of the peer socket of the first process to query
    :param json: print JSON
    """
    addresses = [_read_address(text) for text in (client, address, peer)]
    if None in addresses:
        return EXIT_USAGE
    key = pack_flow_key(addresses[0], addresses[1])
    queried = addresses[2]
    for _ in range(MAX_HOPS):
        reply = _fetch_status(queried, key)
        if reply is None:
            return EXIT_UNREACHABLE
        reply = FlowStatusReply(
            {"asked": f"{queried[0]}:{queried[1]}"} | reply.values, {}
        )
        _print_reply(reply, json)
        holder = reply.values.get("holder")
        if holder in (None, reply.values["asked"]):
            return EXIT_DONE
        queried = parse_address(str(holder))
    return EXIT_DONE


def explain_flow(client: str, address: str, *, peer: str, json: bool = False) -> int:
    """Explain where a flow's next packet, or a new open, would go now, and why.

    Nothing is sent to clients or upstreams. A balancer hands the packet to an agent,
    which is asked next.

    :param client: IP:PORT of the client
    :param address: IP:PORT to which the client sends
    :param peer: IP:PORT of the peer socket of a balancer or an agent
    :param json: print JSON
    """
    addresses = [_read_address(text) for text in (client, address, peer)]
    if None in addresses:
        return EXIT_USAGE
    request = FlowExplainRequest(pack_flow_key(addresses[0], addresses[1]))
    reply = _explain_at(addresses[2], request, json)
    if (
        reply is not None
        and reply.values["role"] == "balancer"
        and "to" in reply.values
    ):
        is_open = reply.values["packet"] == "open"
        data_centre = str(reply.values["client_data_centre"])
        request = FlowExplainRequest(request.flow, is_open, data_centre)
        reply = _explain_at(parse_address(str(reply.values["to"])), request, json)
    return EXIT_USAGE if reply is None else EXIT_DONE


def _explain_at(
    peer: Address, request: FlowExplainRequest, as_json: bool
) -> FlowExplainReply | None:
    """Print and return a process's explanation; print an error if there is none."""
    try:
        reply = asyncio.run(call_bulk(peer, request, FlowExplainReply))
    except CallFailed as error:
        _stderr.print(
            f"no answer: {error}; check that it is the peer socket of a process of "
            "this build",
            markup=False,
        )
        return None
    if reply.error:
        _stderr.print(reply.error, markup=False)
        return None
    if as_json:
        fields = {**reply.values, "candidates": reply.candidates}
        print(msgspec.json.encode(fields).decode())
        return reply
    for name, value in reply.values.items():
        _stdout.print(f"{name}: {value}", markup=False)
    _stdout.print(f"candidates: {len(reply.candidates)}", markup=False)
    for candidate in reply.candidates:
        row = ", ".join(f"{name} {value}" for name, value in candidate.items())
        _stdout.print(f"  {row}", markup=False)
    return reply


def _read_address(text: str) -> Address | None:
    try:
        return parse_ip_address(text)
    except ValueError:
        _stderr.print(f"address {text!r}: expected IP:PORT", markup=False)
        return None


def _fetch_status(peer: Address, key: bytes) -> FlowStatusReply | None:
    """Return a process's status, or its report on one flow if ``key`` is not empty.

    Prints an error and returns None if there is no answer.
    """
    try:
        return asyncio.run(call_bulk(peer, FlowStatusRequest(key), FlowStatusReply))
    except CallFailed as error:
        _stderr.print(
            f"no answer: {error}; check that it is a peer socket", markup=False
        )
        return None


def _print_reply(reply: FlowStatusReply, as_json: bool) -> None:
    if as_json:
        fields = {**reply.values, **reply.lists}
        print(msgspec.json.encode(fields).decode())
        return
    for name, value in reply.values.items():
        _stdout.print(f"{name}: {value}", markup=False)
    for name, rows in reply.lists.items():
        _stdout.print(f"{name}: {len(rows)}", markup=False)
        for row in rows:
            _stdout.print(f"  {row}", markup=False)


FLOW_COMMANDS = {
    "status": show_process,
    "find": follow_flow,
    "explain": explain_flow,
}
