from bilberrypath.coordination.deadlines import Deadlines


class TestDeadlines:
    def test_come_in_order(self):
        deadlines = Deadlines()
        deadlines.set("b", 2.0)
        deadlines.set("a", 1.0)
        assert deadlines.next_at() == 1.0
        assert deadlines.pop_due(2.0) == ["a", "b"]
        assert deadlines.next_at() is None

    def test_the_latest_set_counts(self):
        deadlines = Deadlines()
        deadlines.set("a", 1.0)
        deadlines.set("a", 3.0)
        assert deadlines.pop_due(2.0) == []
        assert deadlines.pop_due(3.0) == ["a"]

    def test_a_cleared_one_does_not_come(self):
        deadlines = Deadlines()
        deadlines.set("a", 1.0)
        deadlines.clear("a")
        assert deadlines.next_at() is None
        assert deadlines.pop_due(9.0) == []

    def test_a_pause_moves_all(self):
        deadlines = Deadlines()
        deadlines.set("b", 2.0)
        deadlines.set("a", 1.0)
        deadlines.shift_for_pause(5.0)
        assert deadlines.next_at() == 6.0
        assert deadlines.pop_due(6.5) == ["a"]
