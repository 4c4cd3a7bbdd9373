"""Base class of the adapters that answer where callers find hosts."""

import collections.abc
import json
import typing

from bramleyfork.entry import components
from bramleyfork.entry import directories
from bramleyfork.entry import exchanges
from bramleyfork.entry.transports import http_server

ResponseFields = tuple[int, exchanges.Headers, bytes]

_JSON = ((b"Content-Type", b"application/json"),)


class DirectoryServer(components.Component):
    """Listens and answers from the directory.

    Subclasses implement ``list_addresses`` and ``build_response``; they are
    registered with the directory's tables as ``passive_reads``.
    """

    __slots__ = ("directory", "_server")

    def start(self) -> None:
        """Sets up state before the first step."""
        self.directory = directories.Directory(
            regions=self.context.settings.regions,
            tables={name: self.get_table(name) for name in self.passive_reads},
        )
        self._server = http_server.HttpServer(handle=self._handle_request)

    async def open(self) -> None:
        """Listens on the addresses that the settings name."""
        for address in self.list_addresses():
            await self._server.open(address)

    def close(self) -> None:
        """Closes listeners and connections."""
        self._server.close()

    def list_addresses(self) -> collections.abc.Iterable[tuple[str, int]]:
        """Returns where to listen."""
        raise NotImplementedError

    def build_response(self, path: str, query: str) -> ResponseFields:
        """Returns status, headers and body for a request."""
        raise NotImplementedError

    def build_readiness_response(self) -> ResponseFields:
        """Returns whether this host takes requests, as a status."""
        return (200 if self.directory.is_ready() else 503), (), b""

    def _handle_request(
        self, http_request: http_server.HttpRequest
    ) -> ResponseFields:
        path, _, query = http_request.url.decode("latin-1").partition("?")
        return self.build_response(path, query)


def build_json_response(
    status: int, document: dict[str, typing.Any]
) -> ResponseFields:
    """Returns a page with a JSON document."""
    return status, _JSON, json.dumps(document).encode()
