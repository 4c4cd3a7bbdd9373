"""What handles the requests of connections."""

import typing

from bramleyfork.listeners import http_heads
from bramleyfork.listeners import http_requests
from bramleyfork.listeners import limits as limits_module
from bramleyfork.listeners import resources as resources_module


class Connection(typing.Protocol):
    """A connection, as its handler uses it."""

    caller: str
    rtt_s: float

    def respond(
        self, status: int, headers: http_heads.Headers, body: bytes
    ) -> None:
        """Writes the response to the current request."""


class ConnectionHandler(typing.Protocol):
    """Handles requests, and the opening and closing of connections.

    Implemented by the transports that listen.

    Attributes:
      limits: Limits that requests and connections have to keep.
      resources: What all connections share.
      is_closing: Whether connections are closed after their next response.
      linger_bytes: Bytes that are read and dropped after a refusal. Closing a
        connection with unread data resets it, and the client may then not
        receive the refusal.
    """

    limits: limits_module.CallerLimits
    resources: resources_module.LoopResources
    is_closing: bool
    linger_bytes: int

    def handle_request(
        self,
        connection: Connection,
        http_request: http_requests.HttpRequest,
    ) -> None:
        """Handles a whole request; responds with ``connection.respond``."""

    def build_refusal(self, status: int) -> tuple[http_heads.Headers, bytes]:
        """Returns headers and body of the refusal of an incomplete request."""

    def add_connection(self, connection: Connection) -> None:
        """Called when a connection has been opened."""

    def remove_connection(self, connection: Connection) -> None:
        """Called when a connection has ended."""
