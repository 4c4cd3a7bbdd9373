"""Loopback proxies that spoil the connections through them."""

import asyncio
import random

PASS = "pass"
DELAY = "delay"  # Each piece waits a little.
DROP_REPLIES = "cut_back"  # Nothing comes back; what is sent arrives.
SILENT = "silent"  # Nothing passes, and nothing is closed.
REFUSE = "refuse"  # New connections are reset, open ones too.

_DELAY_S = (0.01, 0.15)


class Proxy:
    """Passes connections on to an address.

    Args:
      host: IP address to listen on.
      target: Where connections go.
      rng: Source of randomness.

    Attributes:
      mode: One of the modes; holds for open connections too.
      address: Where it listens.
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
        """Begins to listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, self.address[0], 0
        )
        self.address = self._server.sockets[0].getsockname()[:2]

    async def close(self) -> None:
        """Ends the listener and all connections."""
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Ends all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        other = None
        pumps = set()
        try:
            if self.mode == REFUSE:
                return
            other_reader, other = await asyncio.open_connection(*self._target)
            self._writers.add(other)
            pumps = {
                asyncio.ensure_future(self._pump(reader, other, False)),
                asyncio.ensure_future(self._pump(other_reader, writer, True)),
            }
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        except OSError:
            pass  # The target is gone; the other side sees its close.
        except asyncio.CancelledError:
            pass  # The proxy is closed.
        finally:
            for pump in pumps:
                pump.cancel()
            for each in (writer, other):
                if each is not None:
                    self._writers.discard(each)
                    each.transport.abort()
            self._tasks.discard(task)

    async def _pump(self, reader, writer, is_back: bool) -> None:
        try:
            while data := await reader.read(65536):
                if self.mode == DELAY:
                    await asyncio.sleep(self._rng.uniform(*_DELAY_S))
                if self.mode == SILENT or (
                    is_back and self.mode == DROP_REPLIES
                ):
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            return
