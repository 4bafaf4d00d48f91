"""One trace from caller to upstream, with a span for each hop."""

from bilberrypath import Answered, Caller, CallerOptions
from tests.standins.collector import serve
from tests.support.cases import start, wait_until

HOPS = {"balancer.open", "agent.open", "agent.request"}


class TestTraces:
    async def test_each_hop_has_a_span_in_one_trace(self, deployment):
        deployment.collector = "127.57.0.1:4317"
        await start(deployment, dispatch=1, balancers=1)
        # After the forks of the start: a child forked beside gRPC's threads can hang.
        collector, server = await serve(deployment.collector)
        options = CallerOptions(
            deployment.address("dispatch"), deployment.authorities, trace_ratio=1.0
        )
        caller = Caller(options)
        try:
            outcome = await caller.request("POST", "/rides", b"two")
            assert isinstance(outcome, Answered), outcome
            (row,) = [r for r in deployment.read_ledger() if r["event"] == "traced"]
            _, trace_id, _, flags = row["traceparent"].split("-")
            assert flags == "01"
            assert await wait_until(lambda: collector.list_span_names(trace_id) >= HOPS)
        finally:
            await caller.close()
            await server.stop(None)
