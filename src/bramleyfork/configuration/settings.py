"""Settings of one daemon, read once at its start."""

import secrets

from bramleyfork.core import records

_TICKET_KEY_BYTES = 16


class _ProcessSecret(records.Record):
    """Holds what is made once per process and is no setting.

    A field of a base class takes no part in equality and in the readable form,
    so that the key does not get into logs.
    """

    __slots__ = ("ticket_key",)


class Settings(_ProcessSecret):
    """Checked settings of a daemon.

    ``ticket_key`` signs the tickets of this process. It is random and set on
    construction; a copy has another one.

    Attributes:
      deployment: Name of the deployment; hosts of another one are
        refused.
      host: Name of this host, as declared.
      data_centre: Data centre of this host, as declared.
      incarnation: Start of this process, milliseconds since 1970.
      peer_address: address:port to listen on for other hosts.
      caller_address: address:port to listen on for callers.
      administration_address: address:port to listen on for operators.
      platform_address: address:port of the platform.
      seeds: Peer addresses to ask at start.
      caller_threads: Queries served at once.
      target_threads: Attempts in flight at once.
      log_level: Lowest level of logs written.
      cut_file: For tests: file naming peers to cut off.
    """

    __slots__ = (
        "deployment",
        "host",
        "data_centre",
        "incarnation",
        "peer_address",
        "caller_address",
        "administration_address",
        "platform_address",
        "seeds",
        "caller_threads",
        "target_threads",
        "log_level",
        "cut_file",
    )

    def __init__(
        self,
        *,
        deployment: str,
        host: str,
        data_centre: str,
        incarnation: int,
        peer_address: str,
        caller_address: str,
        administration_address: str,
        platform_address: str,
        seeds: tuple[str, ...] = (),
        caller_threads: int = 64,
        target_threads: int = 64,
        log_level: str = "INFO",
        cut_file: str | None = None,
    ):
        self.deployment = deployment
        self.host = host
        self.data_centre = data_centre
        self.incarnation = incarnation
        self.peer_address = peer_address
        self.caller_address = caller_address
        self.administration_address = administration_address
        self.platform_address = platform_address
        self.seeds = seeds
        self.caller_threads = caller_threads
        self.target_threads = target_threads
        self.log_level = log_level
        self.cut_file = cut_file
        self.ticket_key = secrets.token_bytes(_TICKET_KEY_BYTES)
