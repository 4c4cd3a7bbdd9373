"""The pages of a host that runs from files."""

import json
import urllib.parse

from bramleyfork.entry import directories
from bramleyfork.entry import exchanges
from bramleyfork.entry import parts
from bramleyfork.entry.transports import http_server

_JSON = ((b"Content-Type", b"application/json"),)


@parts.register(
    parts.ADAPTERS,
    "host_pages",
    role="pages",
    peeks=directories.Directory.TABLES,
)
class HostPages(parts.Part):
    """Answers ``/hosts`` for callers and ``/ready`` for operators."""

    __slots__ = ("_listener", "_directory")

    def start(self) -> None:
        """Sets up state before the first step."""
        self._listener = http_server.Listener(answer=self._answer)
        self._directory = directories.Directory(
            regions=self.context.settings.regions,
            tables={name: self.table(name) for name in self.peeks},
        )

    async def open(self) -> None:
        """Listens on the address in the settings."""
        await self._listener.open(self.context.settings.pages_address)

    def close(self) -> None:
        """Closes listeners and connections."""
        self._listener.close()

    def _answer(
        self, head: http_server.Head
    ) -> tuple[int, exchanges.Headers, bytes]:
        path, _, query = head.url.decode("latin-1").partition("?")
        if path == "/ready":
            return (200 if self._directory.is_ready() else 503), (), b""
        if path != "/hosts":
            return 404, (), b""
        fields = urllib.parse.parse_qs(query)
        found = self._directory.choose_hosts(
            fields.get("host", [""])[0].lower(),
            fields.get("region", [""])[0],
        )
        body = json.dumps(
            {
                "hosts": found,
                "lifetime_s": self.context.settings.directory_lifetime_s,
            }
        )
        return (200 if found else 503), _JSON, body.encode()
