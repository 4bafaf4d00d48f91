"""The client of the platform's key-value store, the source of the route table."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import msgspec

from bilberrypath.platform.documents import (
    OPERATOR_PREFIX,
    DocumentError,
    apply_store_change,
)
from bilberrypath.state.routes import RouteTable
from bilberrypath.transport.flow_balancer_daemon import RoutesUnavailable
from bilberrypath.transport.http_client import HttpCallFailed, HttpClient

if TYPE_CHECKING:
    from bilberrypath.types import Address, Revision, Seconds

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
STATUS_OK = 200
STATUS_HISTORY_GONE = 410
RETRYABLE_STATUSES = (429, 503)  # the call was not executed and may be repeated


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


_decode_range = msgspec.json.Decoder(RangePage).decode
_decode_events = msgspec.json.Decoder(WatchReply).decode


class PlatformRouteSource:
    """A ``RouteSource`` that reads and watches the operator's documents.

    The next watch starts after ``_watched_revision``. ``_has_failed`` is set if the
    last call failed or may be repeated; the next watch is then shorter.

    ``epoch`` is that of the store's last answer, and ``history_gaps`` counts the
    watches that started at a revision which the store does not have.
    """

    def __init__(self, address: Address) -> None:
        self._client = HttpClient(address)
        self._watched_revision = 0
        self._has_failed = False
        self.epoch = 0
        self.history_gaps = 0

    async def read_next_table(self, current_table: RouteTable) -> RouteTable | None:
        """Return the table after ``current_table``, or None if there is none yet.

        None means that the watch timed out or that there is no configuration. The first
        table, and one after a gap in the store's history, is read as a whole.

        Raises :class:`RoutesUnavailable` if the store gives no usable response.
        """
        if current_table.revision == 0:
            return await self._read_first_table()
        after = max(self._watched_revision, current_table.revision)
        reply = await self._watch(after)
        if reply is None:
            return await self._read_all_pages()
        table = current_table
        for item in reply.events:
            if item.revision > table.revision:
                table = _apply_item(table, item)
        self._watched_revision = max(after, reply.current_rev)
        return table if table.revision > current_table.revision else None

    def close(self) -> None:
        """Close the connection to the store."""
        self._client.close()

    async def _read_first_table(self) -> RouteTable | None:
        """Return the whole table; if there was none before, wait for a change first."""
        if self._watched_revision:
            reply = await self._watch(self._watched_revision)
            if reply is not None and not reply.events:
                return None
        return await self._read_all_pages()

    async def _watch(self, after: Revision) -> WatchReply | None:
        """Wait for changes after a revision; None means that its history is gone."""
        wait, slack = WATCH_WAIT, WATCH_SLACK
        if self._has_failed:
            wait, slack = RETRY_WATCH_WAIT, RETRY_WATCH_SLACK
        query = {
            "prefix": OPERATOR_PREFIX,
            "after": after,
            "waitMs": round(wait * 1000),
        }
        status, body = await self._get("/v1/kv-watch", query, wait + slack)
        if status == STATUS_HISTORY_GONE:
            self.history_gaps += 1
            return None
        return _decode_reply(_decode_events, status, body)

    async def _read_all_pages(self) -> RouteTable | None:
        """Return the table from all pages, or None if there is no configuration.

        A page that does not continue the one before is a second copy of an earlier
        answer; the connection is closed then, as the right answer may follow.

        Pages are not a snapshot: a page may change after it was read. The next watch
        therefore starts after the revision of the first page; after that of the last
        page, it would miss such a change.
        """
        table = RouteTable()
        query: dict[str, str | int] = {"prefix": OPERATOR_PREFIX}
        revision = 0
        while True:
            status, body = await self._get("/v1/kv-range", query, READ_TIMEOUT)
            page = _decode_reply(_decode_range, status, body)
            if page.items and page.items[0].key <= query.get("after", ""):
                self._client.close()
                raise RoutesUnavailable(
                    f"the store returned a page that starts at {page.items[0].key!r}, "
                    f"expected keys after {query['after']!r}; the table is read again"
                )
            revision = revision or page.current_rev
            for item in page.items:
                table = _apply_item(table, item)
            if not page.has_more or not page.items:
                break
            query["after"] = page.items[-1].key
        self._watched_revision = revision
        if not table.routes:
            return None
        return msgspec.structs.replace(table, revision=revision)

    async def _get(
        self, path: str, query: dict[str, str | int], timeout: Seconds
    ) -> tuple[int, bytes]:
        try:
            response = await self._client.call(
                "GET", f"{path}?{urlencode(query)}", timeout
            )
        except HttpCallFailed as error:
            self._has_failed = True
            raise RoutesUnavailable(str(error)) from error
        self._has_failed = response.status in RETRYABLE_STATUSES
        if self._has_failed:
            raise RoutesUnavailable(
                f"the store returned status {response.status} for {path}; "
                "the call is retried"
            )
        self.epoch = _parse_epoch(response.header_by_name.get(EPOCH_HEADER))
        return response.status, response.body


def _parse_epoch(text: str | None) -> int:
    """Return the epoch in a header; 0 for a store that does not send one."""
    if text is None:
        return 0
    if not text.isdecimal():
        raise RoutesUnavailable(
            f"the store's header {EPOCH_HEADER} is {text!r}, expected a whole number"
        )
    return int(text)


def _apply_item(table: RouteTable, item: StoreItem) -> RouteTable:
    value = None if item.deleted else base64.b64decode(item.value)
    try:
        return apply_store_change(table, item.revision, item.key, value)
    except DocumentError as error:
        raise RoutesUnavailable(str(error)) from error


def _decode_reply(decode, status: int, body: bytes):
    if status != STATUS_OK:
        raise RoutesUnavailable(
            f"the store returned status {status}, expected {STATUS_OK}"
        )
    try:
        return decode(body)
    except msgspec.MsgspecError as error:
        raise RoutesUnavailable(
            f"the store's response cannot be decoded: {error}"
        ) from error
