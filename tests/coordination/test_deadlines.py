from bilberrypath.coordination.deadlines import Deadlines


class TestDeadlines:
    def test_due_keys_are_ordered_by_time(self):
        deadlines = Deadlines()
        deadlines.set("b", 2.0)
        deadlines.set("a", 1.0)
        assert deadlines.next_at() == 1.0
        assert list(deadlines.pop_due(2.0)) == ["a", "b"]
        assert deadlines.next_at() is None

    def test_setting_a_key_again_replaces_its_deadline(self):
        deadlines = Deadlines()
        deadlines.set("a", 1.0)
        deadlines.set("a", 3.0)
        assert list(deadlines.pop_due(2.0)) == []
        assert list(deadlines.pop_due(3.0)) == ["a"]

    def test_cleared_deadline_is_not_due(self):
        deadlines = Deadlines()
        deadlines.set("a", 1.0)
        deadlines.clear("a")
        assert deadlines.next_at() is None
        assert list(deadlines.pop_due(9.0)) == []

    def test_pause_of_this_process_postpones_all_deadlines(self):
        deadlines = Deadlines()
        deadlines.set("b", 2.0)
        deadlines.set("a", 1.0)
        deadlines.shift_for_pause(5.0)
        assert deadlines.next_at() == 6.0
        assert list(deadlines.pop_due(6.5)) == ["a"]

    def test_deadline_cleared_while_another_is_handled_is_not_due(self):
        """Guard against handling a deadline that an earlier one has settled."""
        deadlines = Deadlines()
        deadlines.set("a", 1.0)
        deadlines.set("b", 1.0)
        handled = []
        for key in deadlines.pop_due(2.0):
            handled.append(key)
            deadlines.clear("b")
        assert handled == ["a"]

    def test_deadline_replaced_while_another_is_handled_is_due_later(self):
        deadlines = Deadlines()
        deadlines.set("a", 1.0)
        deadlines.set("b", 1.0)
        handled = []
        for key in deadlines.pop_due(2.0):
            handled.append(key)
            deadlines.set("b", 3.0)
        assert handled == ["a"]
        assert list(deadlines.pop_due(3.0)) == ["b"]

    def test_key_that_is_set_again_for_a_past_time_is_due_once(self):
        """Guard against an endless loop."""
        deadlines = Deadlines()
        deadlines.set("a", 1.0)
        handled = []
        for key in deadlines.pop_due(2.0):
            handled.append(key)
            deadlines.set("a", 1.5)
        assert handled == ["a"]
        assert deadlines.next_at() == 1.5

    def test_deadlines_after_one_whose_handling_failed_stay(self):
        deadlines = Deadlines()
        deadlines.set("a", 1.0)
        deadlines.set("b", 1.0)
        assert next(deadlines.pop_due(2.0)) == "a"
        assert list(deadlines.pop_due(2.0)) == ["b"]
