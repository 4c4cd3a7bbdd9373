"""Base class of the HTTP adapters through which callers discover hosts."""

import collections.abc
import json
import typing

from bramleyfork.entry import components
from bramleyfork.entry import directories
from bramleyfork.entry import exchanges
from bramleyfork.listeners import http_requests
from bramleyfork.listeners import http_server

ResponseFields = tuple[int, exchanges.Headers, bytes]

_JSON = ((b"Content-Type", b"application/json"),)


class DirectoryServer(components.Component):
    """An HTTP server that answers from the directory of hosts.

    Subclasses implement ``list_addresses`` and ``build_response``. They are
    registered with the sections that the directory reads (``Directory.TABLES``)
    as ``passive_reads``.
    """

    __slots__ = ("directory", "_server")

    def start(self) -> None:
        """Sets up state before the first step."""
        self.directory = directories.Directory(
            regions=self.context.settings.regions,
            tables={name: self.get_table(name) for name in self.passive_reads},
        )
        self._server = http_server.HttpServer(
            handle=self._handle_request, resources=self.context.connections
        )

    async def open(self) -> None:
        """Listens on each address of ``list_addresses``."""
        for address in self.list_addresses():
            await self._server.open(address)

    def close(self) -> None:
        """Closes listeners and connections."""
        self._server.close()

    def list_addresses(self) -> collections.abc.Iterable[tuple[str, int]]:
        """Returns the addresses to listen on, each as address and port."""
        raise NotImplementedError

    def build_response(self, path: str, query: str) -> ResponseFields:
        """Builds the response to a request.

        Args:
          path: Path without the query.
          query: Query without the question mark; empty if there is none.

        Returns:
          Status, headers and body.
        """
        raise NotImplementedError

    def build_readiness_response(self) -> ResponseFields:
        """Returns status 200 if this host is ready for requests, else 503."""
        return (200 if self.directory.is_ready() else 503), (), b""

    def _handle_request(
        self, http_request: http_requests.HttpRequest
    ) -> ResponseFields:
        path, _, query = http_request.url.decode("latin-1").partition("?")
        return self.build_response(path, query)


def build_json_response(
    status: int, document: dict[str, typing.Any]
) -> ResponseFields:
    """Returns a response with a JSON document as its body."""
    return status, _JSON, json.dumps(document).encode()
