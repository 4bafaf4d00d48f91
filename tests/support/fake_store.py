"""An in-memory key-value store whose calls never suspend."""

from attrs import Factory, define

from bilberrypath.coordination.release_store import ReleaseStore, StoreUnavailable


@define
class FakeKeyValue:
    """A key-value store that can be unavailable and can lose a write or its reply.

    With ``is_unavailable``, each call raises :class:`StoreUnavailable`. With
    ``loses_next_write``, the next write is not applied and raises it; with
    ``loses_next_answer``, the next write is applied and raises it nevertheless.
    ``before_next_swap`` is called once, at the start of the next compare-and-swap,
    and can write as another operator would. ``calls`` counts all calls.
    """

    value_by_key: dict = Factory(dict)
    is_unavailable: bool = False
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
            write_concurrently, self.before_next_swap = self.before_next_swap, None
            write_concurrently()
        if self.loses_next_write:
            self.loses_next_write = False
            raise StoreUnavailable("the write was lost")
        if self.value_by_key.get(key) != expected:
            return False
        for write in writes:
            if write.value is None:
                self.value_by_key.pop(write.key, None)
            else:
                self.value_by_key[write.key] = write.value
        if self.loses_next_answer:
            self.loses_next_answer = False
            raise StoreUnavailable("the reply to the write was lost")
        return True

    def _begin(self):
        self.calls += 1
        if self.is_unavailable:
            raise StoreUnavailable("the store is unavailable")


def make_store(key_value):
    """Return a release store on top of a fake key-value store."""
    return ReleaseStore(key_value, "/t")


def run_now(coroutine):
    """Run a coroutine that never suspends and return its result."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine suspended; it must finish without waiting")
