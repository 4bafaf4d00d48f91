"""The start parameters of an agent for datagram flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from bilberrypath.state.members import Member
    from bilberrypath.types import Address, Seconds


@frozen
class FlowAgentSetup:
    """The start parameters of an agent.

    ``own_member`` is this process's member record, and ``seeds`` are the addresses
    that heartbeats go to until heartbeat targets are known. ``upstream_address`` is
    the address at which the upstream receives packets. ``report_period`` is the time
    between upstream reports. ``flow_lifetime`` is the maximum lifetime of a flow.
    ``process_started_at`` is the start of this process in Unix milliseconds; the
    incarnation of ``own_member`` is later, by the time that the process loads.
    ``tracks_all_flows`` is true if this process has seen every flow of the upstream;
    otherwise this holds once ``flow_lifetime`` has passed since the start.
    ``spillover`` states whether opens of routes with terms are compared by the pressure
    of the service.
    """

    own_member: Member
    seeds: tuple[Address, ...]
    upstream_address: Address
    report_period: Seconds
    flow_lifetime: Seconds
    process_started_at: int
    tracks_all_flows: bool = False
    spillover: bool = False
