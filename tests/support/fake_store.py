"""A key-value service in memory whose calls never wait."""

from attrs import Factory, define

from bilberrypath.coordination.release_store import ReleaseStore, StoreUnavailable


@define
class FakeKeyValue:
    """Hold keys; can be away, and can lose the answer of the next write."""

    value_by_key: dict = Factory(dict)
    is_away: bool = False
    loses_next_answer: bool = False
    loses_next_write: bool = False
    calls: int = 0
    before_next_swap: object = None

    async def get(self, key):
        self._begin()
        return self.value_by_key.get(key)

    async def get_range(self, start, end):
        self._begin()
        rows = self.value_by_key.items()
        return sorted((k, v) for k, v in rows if start <= k < end)

    async def compare_and_swap(self, key, expected, writes):
        self._begin()
        if self.before_next_swap is not None:
            intrude, self.before_next_swap = self.before_next_swap, None
            intrude()
        if self.loses_next_write:
            self.loses_next_write = False
            raise StoreUnavailable("write lost")
        if self.value_by_key.get(key) != expected:
            return False
        for write in writes:
            if write.value is None:
                self.value_by_key.pop(write.key, None)
            else:
                self.value_by_key[write.key] = write.value
        if self.loses_next_answer:
            self.loses_next_answer = False
            raise StoreUnavailable("answer lost")
        return True

    def _begin(self):
        self.calls += 1
        if self.is_away:
            raise StoreUnavailable("away")


def make_store(key_value):
    """Return the releases in a fake service."""
    return ReleaseStore(key_value, "/t")


def run_now(work):
    """Run a coroutine that never waits and return its result."""
    try:
        work.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine waited")
