"""Tests of the queries that several lookups share."""

from bilberrypath.coordination.query_rounds import (
    MAX_FLOWS_PER_QUERY,
    QUERY_INTERVAL,
    QueryRounds,
)
from bilberrypath.protocol.flow_messages import FlowQuery


class TestQueryRounds:
    def test_flows_of_one_agent_share_a_query(self):
        rounds = QueryRounds()
        queries = rounds.start([(b"f", ("a:1", "b:1")), (b"g", ("b:1",))], 1.0)
        assert queries == [("a:1", FlowQuery(b"f")), ("b:1", FlowQuery(b"f", (b"g",)))]

    def test_next_round_starts_after_the_interval(self):
        rounds = QueryRounds()
        assert rounds.may_start(1.0)
        rounds.start([], 1.0)
        assert not rounds.may_start(1.0 + QUERY_INTERVAL / 2)
        assert rounds.may_start(rounds.next_at)

    def test_query_holds_a_limited_number_of_flows(self):
        flows = [bytes([n]) for n in range(MAX_FLOWS_PER_QUERY + 2)]
        queries = QueryRounds().start([(flow, ("a:1",)) for flow in flows], 1.0)
        sizes = [1 + len(query.other_flows) for _, query in queries]
        assert sizes == [MAX_FLOWS_PER_QUERY, 2]

    def test_waiting_flows_are_taken_once(self):
        rounds = QueryRounds(waiting_flows=[b"f"])
        assert rounds.take_waiting() == [b"f"]
        assert rounds.take_waiting() == []
