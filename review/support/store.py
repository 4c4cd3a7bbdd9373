"""Stand-in for the platform's store: ``kv-key``, ``kv-range``, ``kv-watch``."""

import asyncio
import base64
import json
import time
import urllib.parse

PAGE_LIMIT = 500  # Items per page of a listing.
PAGE_BYTES = 1_000_000
HISTORY_S = 20.0


class Store:
    """Keeps items by key; its answers are linearizable."""

    def __init__(self, page_limit=PAGE_LIMIT):
        self.revision = 10
        self._compacted = 10  # Later history is kept.
        self.address = ("127.0.0.1", 0)
        self.page_limit = page_limit
        self.calls = 0
        self._items = {}
        self._events = []
        self._changed = asyncio.Event()
        self._server = None

    async def open(self, ip):
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def put(self, key, value):
        """Writes a value as JSON; returns its revision, which acknowledges."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        known = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode("ascii"),
            "revision": self.revision,
            "create_revision": (
                known["create_revision"] if known else self.revision
            ),
            "lease": 0,
        }
        self._items[key] = item
        self._record(item)
        return self.revision

    def remove(self, key):
        """Removes a key."""
        self.revision += 1
        self._items.pop(key, None)
        self._record({"key": key, "revision": self.revision, "tombstone": True})
        return self.revision

    def _record(self, event):
        now = time.monotonic()
        self._events.append((now, event))
        while self._events[0][0] < now - HISTORY_S:
            self._compacted = self._events.pop(0)[1]["revision"]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode("ascii")
                status, fields = await self._answer(target)
                body = json.dumps(fields).encode()
                writer.write(
                    b"HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (status, len(body), body)
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass  # The script ends.
        finally:
            writer.transport.abort()

    async def _answer(self, target):
        self.calls += 1
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/kv-range":
            return 200, self._list(fields)
        if path == "/kv-watch":
            if int(fields["after"]) < self._compacted:
                return 410, {}
            return 200, await self._watch(fields)
        if path == "/kv-key" and fields.get("key") in self._items:
            item = self._items[fields["key"]]
            return 200, {"item": item, "current_rev": self.revision}
        return 404, {}

    def _list(self, fields):
        keys = sorted(
            key
            for key in self._items
            if key.startswith(fields["prefix"])
            and key > fields.get("after", "")
        )
        page, size = [], 0
        for key in keys[: self.page_limit]:
            if page and size > PAGE_BYTES:
                break
            page.append(self._items[key])
            size += len(self._items[key]["value"])
        return {
            "items": page,
            "truncated": len(keys) > len(page),
            "current_rev": self.revision,
        }

    async def _watch(self, fields):
        after = int(fields["after"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(fields["wait_ms"]) / 1000
        while True:
            events = [
                event
                for _, event in self._events
                if event["revision"] > after
                and event["key"].startswith(fields["prefix"])
            ]
            left_s = end - loop.time()
            if events or left_s <= 0:
                return {"events": events, "current_rev": self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue
