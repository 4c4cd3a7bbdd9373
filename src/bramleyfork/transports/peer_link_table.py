"""The links to other hosts, declared or known by a seed's address only."""

from bramleyfork.configuration import settings as daemon_settings
from bramleyfork.core import blackboard
from bramleyfork.core import clocks
from bramleyfork.core import declarations
from bramleyfork.core import fleet
from bramleyfork.transports import peer_links
from bramleyfork.transports import peer_streams


class LinkTable:
    """The links of a daemon, by host.

    Until a declaration is in force, seeds are connected by address; the seed's
    hello then gives the name of its host.

    Args:
      settings: Settings of the daemon.
      clock: Source of monotonic time.
      declaration: The table "declaration" of the blackboard.
      writer: Writer of the table "peer_links".
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
        """Removes links to undeclared hosts if the declaration changed."""
        if self._declaration.version != self._version:
            self._version = self._declaration.version
            self.remove_undeclared()

    def list_links(self) -> list[peer_links.Link]:
        """Returns all links to hosts with a known name."""
        return list(self._links.values())

    def get_link(self, host: str) -> peer_links.Link:
        """Returns the link to a host whose hello was accepted."""
        return self._links[host]

    def get_or_create_link(self, host: str) -> peer_links.Link | None:
        """Returns the link to a host; None if it is unknown and undeclared."""
        link = self._links.get(host)
        if link is None and self._find_declared(host) is not None:
            link = self._links[host] = peer_links.Link(host=host)
        return link

    def find_address(self, link: peer_links.Link) -> str | None:
        """Returns the declared address of a host, or its last known one."""
        declared = self._find_declared(link.host) if link.host else None
        return link.address if declared is None else declared.peer_address

    def list_broadcast_links(self) -> list[peer_links.Link]:
        """Returns the links that a broadcast goes to.

        These are the connected hosts, or, before a declaration is in force, the
        seeds.
        """
        if self._declaration.get("in_force") is not None:
            return [link for link in self._links.values() if link.find_stream()]
        own_address = self._settings.peer_address
        return [
            self._get_or_create_seed_link(a)
            for a in self._settings.seeds
            if a != own_address
        ]

    def register_stream(self, stream: peer_streams.Stream) -> peer_links.Link:
        """Returns the link for a stream whose hello was accepted.

        If the stream was opened to a seed, messages queued for the seed move to
        the link of its host.
        """
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
        """Writes the state of a link to the blackboard."""
        now = self._clock.read_monotonic()
        self._writer.put(
            link.host,
            fleet.PeerLink(host=link.host, connected=connected, since=now),
        )

    def remove_undeclared(self) -> None:
        """Removes unconnected links to hosts that are not declared."""
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

    def _get_or_create_seed_link(self, address: str) -> peer_links.Link:
        # A host without a stream is treated as an unknown seed again, because
        # another host may have taken over its address.
        for link in self._links.values():
            if link.address == address and link.find_stream():
                return link
        if address not in self._seed_links:
            self._seed_links[address] = peer_links.Link(
                host=None, address=address
            )
        return self._seed_links[address]
