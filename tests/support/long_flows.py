"""Clients with long-lived flows, and the checks of what they receive."""

import asyncio

from attrs import Factory, define

from bilberrypath.protocol.flow_packet import format_flow
from tests.support.flow_processes import FLOW_LIFETIME

FLOW_COUNT = 30
REQUEST_INTERVAL = (0.05, 0.3)  # seconds; a range


@define(eq=False)
class LongFlow:
    """A client's long-lived flow; a restart of its upstream loses the flow."""

    client: object
    holder: str  # host of the upstream that accepted the flow
    upstream_starts: int  # how often that upstream had been started by then


@define(eq=False)
class LongFlows:
    """The long-lived flows of a soak; ``record`` is called with each finding."""

    deployment: object
    rng: object
    record: object
    flows: list = Factory(list)
    is_stopping: bool = False

    async def use_in_turn(self):
        """Keep up to 30 flows open, with a request every 20 ms on a random one."""
        while not self.is_stopping:
            if len(self.flows) < FLOW_COUNT:
                await self._open()
            long_flow = self.rng.choice(self.flows) if self.flows else None
            if long_flow is not None:
                await self._send_on(long_flow, tries=2)
            await asyncio.sleep(0.02)

    async def use_all(self):
        """Use 30 flows at the same time, each for its lifetime or until it is lost."""
        await asyncio.gather(*(self._use_flows() for _ in range(FLOW_COUNT)))

    async def _use_flows(self):
        loop = asyncio.get_running_loop()
        while not self.is_stopping:
            retire_at = loop.time() + FLOW_LIFETIME
            long_flow = await self._open()
            if long_flow is None:
                await asyncio.sleep(REQUEST_INTERVAL[1])
            while long_flow in self.flows and not self.is_stopping:
                is_answered = await self._send_on(long_flow, tries=4)
                is_lost = not is_answered and not self._is_held(long_flow)
                is_over = is_lost or loop.time() > retire_at
                if is_over and long_flow in self.flows:
                    self.flows.remove(long_flow)
                await asyncio.sleep(self.rng.uniform(*REQUEST_INTERVAL))

    async def _open(self):
        """Open a flow; return it, or None if it was not accepted."""
        client = self.deployment.make_client()
        if not await client.open():
            return None
        holder = self.deployment.find_holder(client.flow)
        if holder is None:
            return None
        upstream_starts = self.deployment.upstream_by_host[holder].starts
        long_flow = LongFlow(client, holder, upstream_starts)
        self.flows.append(long_flow)
        return long_flow

    async def _send_on(self, long_flow, tries):
        """Send a request; return whether it was answered."""
        request = f"{self.rng.random()}".encode()
        is_answered = await long_flow.client.send_request(request, tries)
        self.check_answers(long_flow.client)
        if long_flow.client.resets:
            self._check_reset(long_flow)
            self.flows.remove(long_flow)
        return is_answered

    def _is_held(self, long_flow):
        """Return whether a flow's upstream is up and was not restarted."""
        upstream = self.deployment.upstream_by_host[long_flow.holder]
        return upstream.is_up and upstream.starts == long_flow.upstream_starts

    def check_answers(self, client):
        """Check that each answer belongs to a request of the same flow."""
        foreign = set(client.answers) - client.sent_requests
        if foreign:
            flow = format_flow(client.flow)
            self.record("mixed", f"{flow} got answers {foreign} without a request")

    def _check_reset(self, long_flow):
        """Record a reset of a flow whose upstream serves and was not restarted."""
        upstream = self.deployment.upstream_by_host[long_flow.holder]
        if self._is_held(long_flow) and not upstream.is_silent:
            flow = format_flow(long_flow.client.flow)
            self.record("flow", f"{flow} was reset while {long_flow.holder} served it")

    async def check_all_served(self):
        """Check that each flow whose upstream was not restarted is still served."""
        for long_flow in self.flows:
            if not self._is_held(long_flow):
                continue
            if not await long_flow.client.send_request(b"end"):
                flow, holder = format_flow(long_flow.client.flow), long_flow.holder
                self.record("flow", f"{flow} of {holder} is unserved at the end")
            if long_flow.client.resets:
                self._check_reset(long_flow)
