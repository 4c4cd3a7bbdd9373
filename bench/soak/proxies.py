"""TCP proxies on loopback that inject faults into connections."""

import asyncio
import random

PASS = "pass"
DELAY = "delay"  # Delays each read chunk.
DROP_REPLIES = "cut_back"  # Forwards requests, discards replies.
SILENT = "silent"  # Discards all data; connections stay open.
REFUSE = "refuse"  # Resets new connections.

_DELAY_S = (0.01, 0.15)  # Range of the random delay.


class Proxy:
    """Forwards TCP connections to an address.

    Args:
      host: IP address to listen on.
      target: IP address and port to connect to.
      rng: Source of the delays.

    Attributes:
      mode: Current fault, one of the constants above. Except for REFUSE it
        applies to open connections as well.
      address: IP address and port it listens on.
    """

    def __init__(
        self, *, host: str, target: tuple[str, int], rng: random.Random
    ):
        self.mode = PASS
        self.address = (host, 0)
        self._target = target
        self._rng = rng
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        """Starts to listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, self.address[0], 0
        )
        self.address = self._server.sockets[0].getsockname()[:2]

    async def close(self) -> None:
        """Stops listening and aborts all connections."""
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Aborts all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        other = None
        forwarders = set()
        try:
            if self.mode == REFUSE:
                return
            other_reader, other = await asyncio.open_connection(*self._target)
            self._writers.add(other)
            forwarders = {
                asyncio.ensure_future(self._forward(reader, other, False)),
                asyncio.ensure_future(
                    self._forward(other_reader, writer, True)
                ),
            }
            await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
        except OSError:
            pass  # The connection to the target failed; both sides are closed.
        except asyncio.CancelledError:
            pass  # The proxy was closed.
        finally:
            for forwarder in forwarders:
                forwarder.cancel()
            for open_writer in (writer, other):
                if open_writer is not None:
                    self._writers.discard(open_writer)
                    open_writer.transport.abort()
            self._tasks.discard(task)

    async def _forward(self, reader, writer, is_reply: bool) -> None:
        """Forwards data in one direction until the end of the stream."""
        try:
            while data := await reader.read(65536):
                if self.mode == DELAY:
                    await asyncio.sleep(self._rng.uniform(*_DELAY_S))
                if self.mode == SILENT or (
                    is_reply and self.mode == DROP_REPLIES
                ):
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            return
