"""The pages of a host that runs from files."""

import urllib.parse

from bramleyfork.entry import components
from bramleyfork.entry import directories
from bramleyfork.entry.transports import directory_server


@components.register(
    components.ADAPTERS,
    "host_pages",
    writer_name="pages",
    passive_reads=directories.Directory.TABLES,
)
class HostDirectoryServer(directory_server.DirectoryServer):
    """Answers ``/hosts`` for callers and ``/ready`` for operators."""

    __slots__ = ()

    def list_addresses(self) -> tuple[tuple[str, int], ...]:
        """Returns the address in the settings."""
        return (self.context.settings.pages_address,)

    def build_response(
        self, path: str, query: str
    ) -> directory_server.ResponseFields:
        """Returns status, headers and body for a request."""
        if path == "/ready":
            return self.build_readiness_response()
        if path != "/hosts":
            return 404, (), b""
        fields = urllib.parse.parse_qs(query)
        found = self.directory.choose_hosts(
            fields.get("host", [""])[0].lower(),
            fields.get("region", [""])[0],
        )
        return directory_server.build_json_response(
            200 if found else 503,
            {
                "hosts": found,
                "lifetime_s": self.context.settings.directory_lifetime_s,
            },
        )
