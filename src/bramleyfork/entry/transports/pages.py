"""Base class of the adapters that answer where callers find hosts."""

import collections.abc
import json
import typing

from bramleyfork.entry import directories
from bramleyfork.entry import exchanges
from bramleyfork.entry import parts
from bramleyfork.entry.transports import http_server

Page = tuple[int, exchanges.Headers, bytes]

_JSON = ((b"Content-Type", b"application/json"),)


class Pages(parts.Part):
    """Listens and answers from the directory.

    Subclasses implement ``list_addresses`` and ``answer``; they are registered
    with the directory's tables as ``passive_reads``.
    """

    __slots__ = ("directory", "_listener")

    def start(self) -> None:
        """Sets up state before the first step."""
        self.directory = directories.Directory(
            regions=self.context.settings.regions,
            tables={name: self.get_table(name) for name in self.passive_reads},
        )
        self._listener = http_server.Listener(answer=self._answer)

    async def open(self) -> None:
        """Listens on the addresses that the settings name."""
        for address in self.list_addresses():
            await self._listener.open(address)

    def close(self) -> None:
        """Closes listeners and connections."""
        self._listener.close()

    def list_addresses(self) -> collections.abc.Iterable[tuple[str, int]]:
        """Returns where to listen."""
        raise NotImplementedError

    def answer(self, path: str, query: str) -> Page:
        """Returns status, headers and body for a request."""
        raise NotImplementedError

    def answer_readiness(self) -> Page:
        """Returns whether this host takes requests, as a status."""
        return (200 if self.directory.is_ready() else 503), (), b""

    def _answer(self, head: http_server.Head) -> Page:
        path, _, query = head.url.decode("latin-1").partition("?")
        return self.answer(path, query)


def build_page(status: int, document: dict[str, typing.Any]) -> Page:
    """Returns a page with a JSON document."""
    return status, _JSON, json.dumps(document).encode()
