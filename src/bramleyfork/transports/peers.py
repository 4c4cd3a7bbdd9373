"""Exchange of messages with the other hosts over TCP streams of msgpack."""

import asyncio
import contextlib
import logging
import threading
import typing

from bramleyfork.core import blackboard
from bramleyfork.core import clocks
from bramleyfork.core import messages
from bramleyfork.core import records
from bramleyfork.core import transports
from bramleyfork.listeners import budgets
from bramleyfork.listeners import sockets
from bramleyfork.transports import peer_connections
from bramleyfork.transports import peer_counters
from bramleyfork.transports import peer_encoder
from bramleyfork.transports import peer_link_table
from bramleyfork.transports import peer_partitions
from bramleyfork.transports import peer_receiver
from bramleyfork.transports import peer_streams

_LOG = logging.getLogger(__name__)

_CONTROL_SECTIONS = (
    "membership_out",
    "configuration_out",
    "listing_out",
    "targets_out",
    "quarantine_out",
)
_DATA_SECTIONS = ("subrequests", "subreplies")
_WRITTEN_SECTIONS = (
    "peer_subrequests",
    "peer_subreplies",
    "peer_control",
    "peer_links",
)

_START_TIMEOUT_S = 10.0
_STOP_TIMEOUT_S = 3.0


@transports.register("peer_transport")
class PeerTransport(transports.Transport):
    """Moves messages between the blackboard and the other hosts.

    All streams run on one event loop in one thread.

    Attributes:
      counters: Traffic by kind of message.
      address: Configured address:port; after ``start`` that of the listener.
    """

    def __init__(
        self,
        *,
        board: blackboard.Blackboard,
        settings: records.Record,
        clock: clocks.Clock,
        budget: budgets.ConnectionBudget | None = None,
    ):
        super().__init__(
            board=board, settings=settings, clock=clock, budget=budget
        )
        self.counters = peer_counters.TrafficCounters()
        self.address = settings.peer_address
        self._cursors = {
            name: board.find_log(name).open_cursor()
            for name in _CONTROL_SECTIONS + _DATA_SECTIONS
        }
        writers = {
            name: board.grant_writer(name, self.name)
            for name in _WRITTEN_SECTIONS
        }
        self._connection_manager = self._build_connection_manager(writers)
        self._send_scheduled = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self._stopping: asyncio.Event | None = None
        self._thread: threading.Thread | None = None
        self._started = threading.Event()
        self._error: BaseException | None = None
        for name in self._cursors:
            board.find_log(name).add_listener(self._schedule_send)

    def start(self) -> None:
        """Starts the thread; returns once the transport listens.

        Raises:
          OSError: The listener cannot be bound to its address.
          TimeoutError: The listener did not start in time.
        """
        self._thread = threading.Thread(
            target=self._run, name=self.name, daemon=True
        )
        self._thread.start()
        if not self._started.wait(_START_TIMEOUT_S):
            raise TimeoutError(
                f"listener on {self.address!r} did not start in time"
            )
        if self._error is not None:
            raise self._error

    def stop(self) -> None:
        """Closes the listener and all streams and ends the thread."""
        if self._thread is None or self._loop is None:
            return
        with contextlib.suppress(RuntimeError):  # The loop is closed already.
            self._loop.call_soon_threadsafe(self._stopping.set)
        self._thread.join(_STOP_TIMEOUT_S)

    def _build_connection_manager(
        self, writers: dict[str, typing.Any]
    ) -> peer_connections.PeerConnectionManager:
        return peer_connections.PeerConnectionManager(
            settings=self.settings,
            clock=self.clock,
            links=peer_link_table.LinkTable(
                settings=self.settings,
                clock=self.clock,
                declaration=self.board.find_table("declaration"),
                writer=writers["peer_links"],
            ),
            encoder=peer_encoder.PeerEncoder(
                clock=self.clock,
                counters=self.counters,
                subreplies=writers["peer_subreplies"],
            ),
            receiver=peer_receiver.PeerReceiver(
                host=self.settings.host,
                subrequests=writers["peer_subrequests"],
                subreplies=writers["peer_subreplies"],
                control=writers["peer_control"],
            ),
            counters=self.counters,
            injected_partitions=peer_partitions.InjectedPartitions(
                path=self.settings.cut_file
            ),
            budget=self.budget or budgets.build_budget(),
        )

    def _run(self) -> None:
        try:
            asyncio.run(self._serve())
        except Exception as error:
            if self._started.is_set():
                _LOG.exception("peer transport failed")
            self._error = error
        finally:
            self._started.set()

    async def _serve(self) -> None:
        loop = asyncio.get_running_loop()
        ip, port = peer_streams.parse_address(self.settings.peer_address)
        server = await sockets.open_server(
            self._connection_manager.build_stream, (ip, port)
        )
        ip, port = server.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"
        self._stopping = asyncio.Event()
        self._connection_manager.start()
        self._loop = loop
        self._started.set()
        self._send_new_records()
        _LOG.info("listening for peers", extra={"address": self.address})
        await self._stopping.wait()
        server.close()
        await self._connection_manager.stop()

    def _schedule_send(self, _section: str) -> None:
        # Called from any thread. A call that is already scheduled also sends
        # the records that arrive before it runs.
        if self._send_scheduled or self._loop is None:
            return
        self._send_scheduled = True
        with contextlib.suppress(RuntimeError):  # The loop is closed already.
            self._loop.call_soon_threadsafe(self._send_new_records)

    def _send_new_records(self) -> None:
        self._send_scheduled = False
        own_host = self.settings.host
        connection_manager = self._connection_manager
        connection_manager.prepare_sends()
        for name in _CONTROL_SECTIONS:
            for message in self._cursors[name].read_new_records():
                if message.to == messages.ALL_PEERS:
                    connection_manager.broadcast(message)
                elif message.to != own_host:
                    connection_manager.send(message, message.to)
        for message in self._cursors["subrequests"].read_new_records():
            if message.owner != own_host:
                connection_manager.send(message, message.owner)
        for message in self._cursors["subreplies"].read_new_records():
            if message.router != own_host:
                connection_manager.send(message, message.router)
        connection_manager.flush()
