"""Stand-in for the platform's metadata store, with its read calls only."""

import asyncio
import base64
import json
import urllib.parse

from standins.entry import http_stand_in

_PAGE_LIMIT = 50  # Items per page of a listing.


class Store:
    """Keeps items by key and serves listings and watches.

    Attributes:
      revision: Number of changes so far.
      outage: Outage mode of all calls: "" for none, "busy" (status 503),
        "many" (status 429), "reset" (the connection is aborted) or "silent" (no
        reply).
      calls: Paths and query strings of the calls so far.
      era: Number of times that it came back from a copy; None if it doesn't
        state its era.
    """

    def __init__(self):
        self.revision = 0
        self.era: int | None = None
        self.outage = ""
        self.calls: list[str] = []
        self._compact_revision = 0
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Event()
        self._server = http_stand_in.Server(answer=self._answer)

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port on which it listens."""
        return self._server.address

    async def open(self) -> None:
        """Starts listening on a free port."""
        await self._server.open()

    async def close(self) -> None:
        """Closes the listener and all connections."""
        await self._server.close()

    def put(self, key: str, value: object) -> None:
        """Writes a value as JSON; bytes are written as they are."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(data).decode("ascii"),
            "revision": self.revision,
            "create_revision": self.revision,
            "lease": 0,
        }
        self._items[key] = item
        self._record_event(item)

    def remove(self, key: str) -> None:
        """Removes a key."""
        self.revision += 1
        self._items.pop(key, None)
        self._record_event(
            {"key": key, "revision": self.revision, "tombstone": True}
        )

    def forget_history(self) -> None:
        """Discards all events; watches from before now get status 410."""
        self._compact_revision = self.revision
        self._events.clear()

    def copy(self) -> "Copy":
        """Returns a copy of the current content, to come back from."""
        return Copy(revision=self.revision, items=dict(self._items))

    def restore(self, copy: "Copy") -> None:
        """Comes back from an older copy: a new era begins.

        Revisions go back, and the history is gone.
        """
        self.revision = self._compact_revision = copy.revision
        self._items = dict(copy.items)
        self._events.clear()
        self.era = (self.era or 0) + 1
        self._changed.set()
        self._changed = asyncio.Event()

    def _record_event(self, event: dict) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(
        self, request: http_stand_in.Request
    ) -> http_stand_in.Reply | None:
        self.calls.append(request.target)
        if self.outage == "silent":
            await asyncio.sleep(3600)
        if self.outage == "reset":
            return None
        if self.outage:
            return self._add_era(
                http_stand_in.Reply(
                    status=429 if self.outage == "many" else 503
                )
            )
        path, _, query = request.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/kv-range":
            return self._add_era(self._list(fields))
        if path == "/kv-watch":
            return self._add_era(await self._watch(fields))
        return http_stand_in.Reply(status=404)

    def write_again(self, before: "Copy", copy: "Copy") -> None:
        """Writes again what the store lost when it came back from a copy.

        Args:
          before: Its content before that.
          copy: The copy.
        """
        for key in {*before.items, *copy.items}:
            current = self._items.get(key)
            if current is not copy.items.get(key):
                continue  # Written since.
            lost = before.items.get(key)
            if lost is current:
                continue
            if lost is None:
                self.remove(key)
                continue
            self.put(key, base64.b64decode(lost["value"]))

    def _add_era(self, reply: http_stand_in.Reply) -> http_stand_in.Reply:
        if self.era is not None:
            reply.headers = (*reply.headers, ("Store-Era", str(self.era)))
        return reply

    def _list(self, fields: dict[str, str]) -> http_stand_in.Reply:
        keys = sorted(
            key
            for key in self._items
            if key.startswith(fields["prefix"])
            and key > fields.get("after", "")
        )
        return _build_reply(
            {
                "items": [self._items[key] for key in keys[:_PAGE_LIMIT]],
                "truncated": len(keys) > _PAGE_LIMIT,
                "current_rev": self.revision,
            }
        )

    async def _watch(self, fields: dict[str, str]) -> http_stand_in.Reply:
        after = int(fields["after"])
        if after < self._compact_revision or after > self.revision:
            return self._add_era(http_stand_in.Reply(status=410))
        era = self.era
        deadline = (
            asyncio.get_running_loop().time() + int(fields["wait_ms"]) / 1000
        )
        while True:
            if self.era != era:
                return http_stand_in.Reply(status=410)
            events = [
                event
                for event in self._events
                if event["revision"] > after
                and event["key"].startswith(fields["prefix"])
            ]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                return _build_reply(
                    {"events": events, "current_rev": self.revision}
                )
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                continue


class Copy:
    """Content of a store at one moment.

    Attributes:
      revision: Revision of the store at that moment.
      items: Items by key.
    """

    __slots__ = ("revision", "items")

    def __init__(self, *, revision: int, items: dict[str, dict]):
        self.revision = revision
        self.items = items


def _build_reply(body: dict) -> http_stand_in.Reply:
    return http_stand_in.Reply(
        status=200,
        headers=(("Content-Type", "application/json"),),
        body=json.dumps(body).encode(),
    )
