"""HTTP server for the directory and readiness of a standalone host."""

import urllib.parse

from bramleyfork.entry import directories
from bramleyfork.entry import parts
from bramleyfork.entry.transports import pages


@parts.register(
    parts.ADAPTERS,
    "host_pages",
    role="pages",
    peeks=directories.Directory.TABLES,
)
class HostPages(pages.Pages):
    """Serves ``/hosts`` to callers and ``/ready`` to operators."""

    __slots__ = ()

    def list_addresses(self) -> tuple[tuple[str, int], ...]:
        """Returns the listen address, as set by ``pages_address``."""
        return (self.context.settings.pages_address,)

    def answer(self, path: str, query: str) -> pages.Page:
        """Returns status, headers and body of the response to a request."""
        if path == "/ready":
            return self.answer_readiness()
        if path != "/hosts":
            return 404, (), b""
        fields = urllib.parse.parse_qs(query)
        found = self.directory.choose_hosts(
            fields.get("host", [""])[0].lower(),
            fields.get("region", [""])[0],
        )
        return pages.build_page(
            200 if found else 503,
            {
                "hosts": found,
                "lifetime_s": self.context.settings.directory_lifetime_s,
            },
        )
