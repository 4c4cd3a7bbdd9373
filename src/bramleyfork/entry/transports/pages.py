"""Base class of the HTTP adapters through which callers discover hosts."""

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
    """An HTTP server that answers from the directory of hosts.

    Subclasses implement ``list_addresses`` and ``answer``. They are registered
    with the sections that the directory reads (``Directory.TABLES``) as
    ``peeks``.
    """

    __slots__ = ("directory", "_listener")

    def start(self) -> None:
        """Sets up state before the first step."""
        self.directory = directories.Directory(
            regions=self.context.settings.regions,
            tables={name: self.table(name) for name in self.peeks},
        )
        self._listener = http_server.Listener(answer=self._answer)

    async def open(self) -> None:
        """Listens on each address of ``list_addresses``."""
        for address in self.list_addresses():
            await self._listener.open(address)

    def close(self) -> None:
        """Closes listeners and connections."""
        self._listener.close()

    def list_addresses(self) -> collections.abc.Iterable[tuple[str, int]]:
        """Returns the addresses to listen on, each as address and port."""
        raise NotImplementedError

    def answer(self, path: str, query: str) -> Page:
        """Builds the response to a request.

        Args:
          path: Path without the query.
          query: Query without the question mark; empty if there is none.

        Returns:
          Status, headers and body.
        """
        raise NotImplementedError

    def answer_readiness(self) -> Page:
        """Returns status 200 if this host is ready for requests, else 503."""
        return (200 if self.directory.is_ready() else 503), (), b""

    def _answer(self, head: http_server.Head) -> Page:
        path, _, query = head.url.decode("latin-1").partition("?")
        return self.answer(path, query)


def build_page(status: int, document: dict[str, typing.Any]) -> Page:
    """Returns a response with a JSON document as its body."""
    return status, _JSON, json.dumps(document).encode()
