"""Finds links and addresses of hosts, declared or only known as seeds."""

from bramleyfork.configuration import settings as daemon_settings
from bramleyfork.core import blackboard
from bramleyfork.core import clocks
from bramleyfork.core import declarations
from bramleyfork.core import fleet
from bramleyfork.transports import peer_links
from bramleyfork.transports import peer_streams


class LinkTable:
    """The links of a daemon, by host.

    Until a declaration is in force, seeds are reached by address; the hello
    then tells which host a seed is.

    Args:
      settings: Settings of the daemon.
      clock: Source of monotonic time.
      declaration: The table of that name.
      writer: Writer of peer_links.
    """

    __slots__ = (
        "_settings",
        "_clock",
        "_declaration",
        "_version",
        "_writer",
        "_links",
        "_seed_links",
    )

    def __init__(
        self,
        *,
        settings: daemon_settings.Settings,
        clock: clocks.Clock,
        declaration: blackboard.Table,
        writer: blackboard.TableWriter,
    ):
        self._settings = settings
        self._clock = clock
        self._declaration = declaration
        self._version = declaration.version
        self._writer = writer
        self._links: dict[str, peer_links.Link] = {}
        self._seed_links: dict[str, peer_links.Link] = {}

    def refresh(self) -> None:
        """Removes links of hosts that a new declaration lacks."""
        if self._declaration.version != self._version:
            self._version = self._declaration.version
            self.remove_undeclared()

    def list_links(self) -> list[peer_links.Link]:
        """Returns the links of all known hosts."""
        return list(self._links.values())

    def get_link(self, host: str) -> peer_links.Link:
        """Returns the link of a host that has said hello."""
        return self._links[host]

    def get_or_create_link(self, host: str) -> peer_links.Link | None:
        """Returns the link of a declared or known host, or None."""
        link = self._links.get(host)
        if link is None and self._find_declared(host) is not None:
            link = self._links[host] = peer_links.Link(host=host)
        return link

    def find_address(self, link: peer_links.Link) -> str | None:
        """Returns where to reach a host: as declared, or as reached before."""
        declared = self._find_declared(link.host) if link.host else None
        return link.address if declared is None else declared.peer_address

    def list_broadcast_links(self) -> list[peer_links.Link]:
        """Returns the connected hosts, or the seeds without a declaration."""
        if self._declaration.get("in_force") is not None:
            return [link for link in self._links.values() if link.find_stream()]
        own = self._settings.peer_address
        return [self._find_seed(a) for a in self._settings.seeds if a != own]

    def register_stream(self, stream: peer_streams.Stream) -> peer_links.Link:
        """Returns the link of a greeted stream, joined with its seed's."""
        link = self._links.get(stream.host)
        if link is None:
            link = self._links[stream.host] = peer_links.Link(host=stream.host)
        if stream.dialled_address is None or stream.expected_host is not None:
            return link
        link.address = stream.dialled_address
        seed = self._seed_links.pop(stream.dialled_address, None)
        if seed is not None:
            for outgoing in seed.pop_queued():
                link.enqueue(outgoing)
        return link

    def publish(self, link: peer_links.Link, *, connected: bool) -> None:
        """Writes the state of a link."""
        now = self._clock.read_monotonic()
        self._writer.put(
            link.host,
            fleet.PeerLink(host=link.host, connected=connected, since=now),
        )

    def remove_undeclared(self) -> None:
        """Removes links without a stream of hosts that are not declared."""
        if self._declaration.get("in_force") is None:
            return
        for host, link in list(self._links.items()):
            if self._find_declared(host) or link.streams or link.connecting:
                continue
            del self._links[host]
            self._writer.remove(host)

    def _find_declared(self, host: str) -> declarations.Host | None:
        active = self._declaration.get("in_force")
        return active.declaration.hosts.get(host) if active else None

    def _find_seed(self, address: str) -> peer_links.Link:
        # A host that no longer has a stream is dialled as a seed again, as
        # another host may have its address by now.
        for link in self._links.values():
            if link.address == address and link.find_stream():
                return link
        if address not in self._seed_links:
            self._seed_links[address] = peer_links.Link(
                host=None, address=address
            )
        return self._seed_links[address]
