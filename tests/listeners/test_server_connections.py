import asyncio

from bramleyfork.listeners import budgets
from bramleyfork.listeners import request_readers
from bramleyfork.listeners import resources
from bramleyfork.listeners import server_connections
from bramleyfork.listeners import sockets
from tests.entry import ports
from tests.entry.transports import test_entry_decoder_fuzz as fuzz


class Handler(fuzz.Handler):
    """Keeps connections, so that a test can look at them."""

    def __init__(self):
        super().__init__()
        self.resources = resources.LoopResources(budget=budgets.build_budget())
        self.connections = []

    def add_connection(self, connection):
        self.connections.append(connection)

    def handle_request(self, connection, http_request):
        self.requests.append(http_request)


async def open_pair():
    (port,) = ports.find_ports(1)
    loop, handler = asyncio.get_running_loop(), Handler()
    server = await sockets.open_server(
        lambda: server_connections.ServerConnection(handler=handler, loop=loop),
        ("127.0.0.1", port),
    )
    streams = await asyncio.open_connection("127.0.0.1", port)
    await asyncio.sleep(0.02)
    return server, handler, streams


def test_a_refused_request_is_released_at_once():
    # Guards against bodies of refused requests that stay until the next
    # garbage collection, which a crowd reaches too late.
    async def work():
        server, handler, (_, writer) = await open_pair()
        (connection,) = handler.connections
        writer.write(
            b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 60\r\n\r\n"
        )
        writer.write(b"b" * 50)
        await asyncio.sleep(0.02)
        assert connection.state == server_connections.READING_BODY
        reader = connection._reader
        assert reader.count_held_bytes() > 50
        connection.evict()
        assert reader.count_held_bytes() == 0
        server.close()
        writer.transport.abort()

    asyncio.run(work())


def test_the_states_of_a_connection_follow_its_requests():
    # Guards against time limits that are applied to the wrong part of a
    # request: a head that follows a response has its own.
    async def work():
        server, handler, (_, writer) = await open_pair()
        (connection,) = handler.connections
        seen = [connection.state]
        request = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
        for data in (request[:9], request[9:] + request[:9]):
            writer.write(data)
            await asyncio.sleep(0.02)
            seen.append(connection.state)
        connection.respond(200, (), b"")
        seen.append(connection.state)
        assert seen == [
            server_connections.IDLE,
            server_connections.READING_HEAD,
            server_connections.BUSY,
            server_connections.READING_HEAD,
        ]
        server.close()
        writer.transport.abort()

    asyncio.run(work())


def test_a_reader_counts_fields_as_objects():
    # Guards against many short fields that count for little.
    reader = request_readers.RequestReader(
        get_limits=lambda: fuzz.Handler().limits.replace(header_bytes=16_384),
        on_request=lambda _: None,
        on_expectation=lambda: None,
    )
    data = b"GET /x HTTP/1.1\r\n" + b"A: b\r\n" * 1000
    reader.feed(data, 0.0)
    assert reader.count_held_bytes() > 20 * len(data)
