from bilberrypath.coordination.deadlines import Deadlines


class TestDeadlines:
    def test_due_keys_are_ordered_by_time(self):
        deadlines = Deadlines()
        deadlines.set("b", 2.0)
        deadlines.set("a", 1.0)
        assert deadlines.next_at() == 1.0
        assert deadlines.pop_due(2.0) == ["a", "b"]
        assert deadlines.next_at() is None

    def test_setting_a_key_again_replaces_its_deadline(self):
        deadlines = Deadlines()
        deadlines.set("a", 1.0)
        deadlines.set("a", 3.0)
        assert deadlines.pop_due(2.0) == []
        assert deadlines.pop_due(3.0) == ["a"]

    def test_cleared_deadline_is_not_due(self):
        deadlines = Deadlines()
        deadlines.set("a", 1.0)
        deadlines.clear("a")
        assert deadlines.next_at() is None
        assert deadlines.pop_due(9.0) == []

    def test_pause_of_this_process_postpones_all_deadlines(self):
        deadlines = Deadlines()
        deadlines.set("b", 2.0)
        deadlines.set("a", 1.0)
        deadlines.shift_for_pause(5.0)
        assert deadlines.next_at() == 6.0
        assert deadlines.pop_due(6.5) == ["a"]
