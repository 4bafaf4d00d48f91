"""The client of the platform's key-value store, the source of the route table."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import msgspec
from attrs import frozen

from bilberrypath.platform.documents import (
    CONFIG_KEY,
    OPERATOR_PREFIX,
    apply_store_change,
)
from bilberrypath.protocol.decoding import DECODE_ERRORS
from bilberrypath.state.routes import RouteTable
from bilberrypath.state.store_position import (
    EPOCH_BITS,
    format_revision,
    get_epoch,
    get_store_revision,
    make_revision,
)
from bilberrypath.transport.flow_balancer_daemon import (
    EntriesRejected,
    RoutesUnavailable,
)
from bilberrypath.transport.http_client import HttpCallFailed, HttpClient

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import NoReturn, TypeVar

    from bilberrypath.state.route_terms import InvalidTerms
    from bilberrypath.types import Address, Revision, Seconds

    T = TypeVar("T")

READ_TIMEOUT: Seconds = 1.0  # the store answers in milliseconds
# The store answers a watch after at most this time. Together with the slack it is below
# the shortest stable window of the users' deployments (4 s), so that a lost watch is
# detected while the store still counts as unstable.
WATCH_WAIT: Seconds = 2.5
WATCH_SLACK: Seconds = 1.0  # a slow store answers within this time
# After a failure, a watch is shorter: the store may recover at any time, and the loss
# of another watch is detected sooner.
RETRY_WATCH_WAIT: Seconds = 0.5
RETRY_WATCH_SLACK: Seconds = 0.5  # twice the response times seen with a slow store
EPOCH_HEADER = "store-era"  # rises by one when the store is restored from a copy
MAX_EPOCH_DIGITS = len(str(1 << EPOCH_BITS))
STATUS_OK = 200
STATUS_HISTORY_GONE = 410


class StoreItem(msgspec.Struct):
    """A key of the store with its value in base64, or its removal if ``deleted``."""

    key: str
    revision: int
    value: str = ""
    deleted: bool = False


class RangePage(msgspec.Struct, rename="camel"):
    """A page of a range read; ``current_rev`` is the revision of the whole store."""

    items: list[StoreItem]
    current_rev: int
    has_more: bool = False


class WatchReply(msgspec.Struct, rename="camel"):
    """Changes by ascending revision; the next watch starts after ``current_rev``."""

    events: list[StoreItem]
    current_rev: int


@frozen
class StoreAnswer:
    """An answer of the store, with the epoch in which it was given."""

    status: int
    epoch: int
    body: bytes


_decode_range = msgspec.json.Decoder(RangePage).decode
_decode_events = msgspec.json.Decoder(WatchReply).decode


class PlatformRouteSource:
    """A ``RouteSource`` that reads and watches the operator's documents.

    ``_table`` has the documents as they were last read, and the next watch starts
    after ``_position``, a revision at or above that of the table. ``_has_failed`` is
    set if the last call failed or may be repeated; the next watch is then shorter.

    An entry that cannot be applied changes nothing, and its error is raised once the
    other entries were applied; the next call returns these. ``_entry_errors`` has the
    errors of the current call. ``_invalid_terms`` is what was last found wrong with the
    terms of a configuration, and ``_are_terms_reported`` whether it was taken.

    ``epoch`` is the highest in the store's answers, and ``history_gaps`` counts the
    watches that started at a revision which the store does not have.
    """

    def __init__(self, address: Address) -> None:
        self._client = HttpClient(address)
        self._table = RouteTable()
        self._position: Revision = 0
        self._has_failed = False
        self._entry_errors: list[str] = []
        self._invalid_terms: InvalidTerms | None = None
        self._are_terms_reported = True
        self.epoch = 0
        self.history_gaps = 0

    async def read_next_table(self, current_table: RouteTable) -> RouteTable | None:
        """Return the store's table if it is newer than ``current_table``.

        None means that the watch timed out or that there is no configuration. The first
        table, one after a gap in the store's history, and one after a restore of the
        store is read as a whole. A table that was returned before and is not in
        ``current_table`` is returned again.

        Raises :class:`RoutesUnavailable` if the store gives no usable response, and
        :class:`EntriesRejected` if an entry that was read cannot be applied.
        """
        self._entry_errors.clear()
        if current_table.revision >= self._table.revision:
            self._table = current_table
        self._position = max(self._position, self._table.revision)
        if self._position == 0 or not await self._follow_changes(current_table):
            await self._read_all_pages(current_table)
        if self._entry_errors:
            raise EntriesRejected("; ".join(self._entry_errors))
        return self._table if self._is_newer_than(current_table) else None

    def take_invalid_terms(self) -> InvalidTerms | None:
        """Return the invalid terms of a configuration once, else None."""
        if self._are_terms_reported:
            return None
        self._are_terms_reported = True
        return self._invalid_terms

    def _report_invalid_terms(self, invalid: InvalidTerms) -> None:
        """Record invalid terms, unless the same configuration was only read again."""
        if invalid != self._invalid_terms:
            self._invalid_terms = invalid
            self._are_terms_reported = False

    def close(self) -> None:
        """Close the connection to the store."""
        self._client.close()

    def _is_newer_than(self, current_table: RouteTable) -> bool:
        has_configuration = self._table.version > 0
        return has_configuration and self._table.revision > current_table.revision

    async def _follow_changes(self, current_table: RouteTable) -> bool:
        """Apply the changes after the position; return False if they are not available.

        They are not if the store has dropped them, or was restored since the position
        was read: its revisions then name other changes. The first configuration is read
        with the rest of the table.
        """
        answer = await self._watch(is_short=self._is_newer_than(current_table))
        if answer.epoch < get_epoch(self._position):
            self._refuse_late_answer(answer.epoch)
        if answer.status == STATUS_HISTORY_GONE:
            self.history_gaps += 1
            return False
        if answer.epoch > get_epoch(self._position):
            return False
        reply = _decode_reply(_decode_events, answer)
        if reply.events and self._table.version == 0:
            return False
        table = self._table
        for item in reply.events:
            if _join_revision(answer.epoch, item.revision) > table.revision:
                table = self._apply_item(table, answer.epoch, item)
        self._table = table
        self._position = max(
            self._position, _join_revision(answer.epoch, reply.current_rev)
        )
        return True

    async def _watch(self, is_short: bool) -> StoreAnswer:
        """Wait for changes after the position.

        A short watch is used after a failure, and while a table that was returned is
        not in force.
        """
        wait, slack = WATCH_WAIT, WATCH_SLACK
        if self._has_failed or is_short:
            wait, slack = RETRY_WATCH_WAIT, RETRY_WATCH_SLACK
        query = {
            "prefix": OPERATOR_PREFIX,
            "after": get_store_revision(self._position),
            "waitMs": round(wait * 1000),
        }
        return await self._get("/v1/kv-watch", query, wait + slack)

    async def _read_all_pages(self, current_table: RouteTable) -> None:
        """Read the table from all pages.

        A page that does not continue the one before, or is of an older epoch, is a
        second copy of an earlier answer; the connection is closed then, as the right
        answer may follow. A store that is restored between two pages is read again.

        Pages are not a snapshot: a page may change after it was read. The next watch
        therefore starts after the revision of the first page; after that of the last
        page, it would miss such a change.

        If the configuration cannot be applied, that of ``current_table`` is kept.
        """
        table = RouteTable()
        query: dict[str, str | int] = {"prefix": OPERATOR_PREFIX}
        first: Revision = 0
        while True:
            answer = await self._get("/v1/kv-range", query, READ_TIMEOUT)
            page = _decode_reply(_decode_range, answer)
            first = first or _join_revision(answer.epoch, page.current_rev)
            if answer.epoch != get_epoch(first):
                raise RoutesUnavailable(
                    f"the store was restored to epoch {answer.epoch} while its table "
                    f"of epoch {get_epoch(first)} was read; the table is read again"
                )
            if page.items and page.items[0].key <= query.get("after", ""):
                self._client.close()
                raise RoutesUnavailable(
                    f"the store returned a page that starts at {page.items[0].key!r}, "
                    f"expected keys after {query['after']!r}; the table is read again"
                )
            for item in page.items:
                if item.key == CONFIG_KEY:
                    table = _copy_configuration(current_table, table)
                table = self._apply_item(table, answer.epoch, item)
            if not page.has_more or not page.items:
                break
            query["after"] = page.items[-1].key
        if current_table.version > 0 and table.version == 0:
            raise RoutesUnavailable(
                f"the store has no configuration at revision {format_revision(first)}, "
                f"while {current_table.version} is in force; the table is read again"
            )
        self._position = first
        self._table = msgspec.structs.replace(table, revision=first)

    def _apply_item(self, table: RouteTable, epoch: int, item: StoreItem) -> RouteTable:
        """Return the table after an entry; without a change if that is not possible."""
        revision = _join_revision(epoch, item.revision)
        try:
            value = None if item.deleted else base64.b64decode(item.value)
            return apply_store_change(
                table, revision, item.key, value, self._report_invalid_terms
            )
        except ValueError as error:
            self._entry_errors.append(f"{item.key}: {error}")
            return msgspec.structs.replace(table, revision=revision)

    async def _get(
        self, path: str, query: dict[str, str | int], timeout: Seconds
    ) -> StoreAnswer:
        try:
            response = await self._client.call(
                "GET", f"{path}?{urlencode(query)}", timeout
            )
        except HttpCallFailed as error:
            self._has_failed = True
            raise RoutesUnavailable(str(error)) from error
        self._has_failed = response.status not in (STATUS_OK, STATUS_HISTORY_GONE)
        if self._has_failed:
            raise RoutesUnavailable(
                f"the store returned status {response.status} for {path}, expected "
                f"{STATUS_OK}; the call is retried"
            )
        epoch = _parse_epoch(response.header_by_name.get(EPOCH_HEADER))
        if epoch < self.epoch:
            self._refuse_late_answer(epoch)
        self.epoch = epoch
        return StoreAnswer(response.status, epoch, response.body)

    def _refuse_late_answer(self, epoch: int) -> NoReturn:
        """Raise for an answer from before a restore, and close its connection."""
        self._client.close()
        raise RoutesUnavailable(
            f"the store's answer is of epoch {epoch}, expected "
            f"{max(self.epoch, get_epoch(self._position))} or later; it is read again"
        )


def _parse_epoch(text: str | None) -> int:
    """Return the epoch in a header; 0 for a store that does not send one."""
    if text is None:
        return 0
    is_short_number = text.isdecimal() and len(text) <= MAX_EPOCH_DIGITS
    if not is_short_number or int(text) >= 1 << EPOCH_BITS:
        raise RoutesUnavailable(
            f"the store's header {EPOCH_HEADER} is {text[:20]!r}, expected a whole "
            f"number below {1 << EPOCH_BITS}"
        )
    return int(text)


def _join_revision(epoch: int, store_revision: int) -> Revision:
    """Return the revision of a change; raises :class:`RoutesUnavailable`."""
    try:
        return make_revision(epoch, store_revision)
    except ValueError as error:
        raise RoutesUnavailable(f"the store's response is invalid: {error}") from error


def _copy_configuration(source: RouteTable, table: RouteTable) -> RouteTable:
    """Return a table with the configuration of another one."""
    return msgspec.structs.replace(
        table,
        version=source.version,
        routes=source.routes,
        limits=source.limits,
        idle_timeout=source.idle_timeout,
    )


def _decode_reply(decode: Callable[[bytes], T], answer: StoreAnswer) -> T:
    try:
        return decode(answer.body)
    except DECODE_ERRORS as error:
        raise RoutesUnavailable(
            f"the store's response cannot be decoded: {error}"
        ) from error
