"""A stand-in for the platform's metadata store: its HTTP interface, in memory."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

PAGE_SIZE = 500


class PlatformStore:
    """Serve keys with revisions by paged range reads, and changes by long polls.

    ``mode`` selects a fault: "busy" answers with status 503, "many" with 429,
    "silent" never answers, "reset" resets the connection, "garbage" sends a body
    that is not JSON, "doubled" sends each answer twice, and "doubled late" sends the
    second copy with the next answer; "" is normal service. A watch that starts before
    ``compacted_revision`` is answered with 410, as its history is gone. ``calls``
    holds the target of each request, ``connections`` the number accepted. ``epoch`` is
    sent in each answer and rises with each :meth:`restore`; None sends no header.
    """

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.compacted_revision = 0
        self.epoch = 1
        self.mode = ""
        self.calls = []
        self.connections = 0
        self._late_copy = b""
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        """Listen on a free port of loopback; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()

    def close(self):
        self._server.close()

    def put(self, key, value):
        """Write a key; a value other than bytes is stored as JSON."""
        self.revision += 1
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._append_event(item)

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        self._append_event({"key": key, "revision": self.revision, "deleted": True})

    def compact(self):
        """Discard the history of changes up to the current revision."""
        self.history.clear()
        self.compacted_revision = self.revision

    def copy(self):
        """Return a copy of the store, for a later :meth:`restore`."""
        return self.revision, dict(self.items), list(self.history)

    def restore(self, copy, writes_again=False):
        """Go back to a copy: later writes are lost, their revisions given out again.

        With ``writes_again`` the lost changes are made again before the next answer.
        """
        lost_items = self.items
        self.revision, items, history = copy
        self.items, self.history = dict(items), list(history)
        self.compacted_revision = min(self.compacted_revision, self.revision)
        self.epoch += 1
        if writes_again:
            for key in set(self.items) - set(lost_items):
                self.remove(key)
            for key, item in lost_items.items():
                if self.items.get(key) != item:
                    self.put(key, base64.b64decode(item["value"]))
        self._wake_watches()

    def _append_event(self, event):
        self.history.append(event)
        self._wake_watches()

    def _wake_watches(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        writer.close()

    async def _serve_one(self, reader, writer):
        """Answer one request; return whether the connection stays open."""
        request_head = await reader.readuntil(b"\r\n\r\n")
        target = request_head.split(b" ", 2)[1].decode()
        self.calls.append(target)
        if self.mode == "reset":
            writer.transport.abort()
            return False
        if self.mode == "silent":
            await asyncio.sleep(3600)
        status, body = await self._answer(target)
        data = json.dumps(body).encode()
        if self.mode == "garbage":
            data = b"?" + data
        epoch = "" if self.epoch is None else f"Store-Era: {self.epoch}\r\n"
        response_head = (
            f"HTTP/1.1 {status} X\r\n{epoch}Content-Length: {len(data)}\r\n\r\n"
        )
        answer = response_head.encode() + data
        writer.write(self._late_copy + answer)
        self._late_copy = answer if self.mode == "doubled late" else b""
        if self.mode == "doubled":
            writer.write(answer)
        await writer.drain()
        return True

    async def _answer(self, target):
        if self.mode in ("busy", "many"):
            return (503 if self.mode == "busy" else 429), {}
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if parts.path == "/v1/kv-range":
            return 200, self._range(query)
        if parts.path == "/v1/kv-watch":
            return await self._watch(query)
        return 404, {}

    def _range(self, query):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        page = [self.items[key] for key in keys[:PAGE_SIZE]]
        has_more = len(keys) > PAGE_SIZE
        return {"items": page, "hasMore": has_more, "currentRev": self.revision}

    async def _watch(self, query):
        """Wait up to ``waitMs`` for changes after a revision; return the answer."""
        after = int(query["after"])
        deadline = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000
        while True:
            if after < self.compacted_revision or after > self.revision:
                return 410, {"currentRev": self.revision}
            events = [
                event
                for event in self.history
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            remaining = deadline - asyncio.get_running_loop().time()
            if events or remaining <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except TimeoutError:
                continue
