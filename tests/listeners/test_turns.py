import asyncio

from bramleyfork.listeners import turns


class Connection:
    def __init__(self, log):
        self.log = log

    def resume_reading(self):
        self.log.append(self)


def test_costly_connections_read_one_after_the_other():
    # Guards against costly requests that share one turn of the event loop, so
    # that all other connections wait for all of them.
    async def work():
        loop = asyncio.get_running_loop()
        queue, log = turns.TurnQueue(), []
        connections = [Connection(log) for _ in range(5)]
        for connection in connections:
            queue.add(connection, loop)
        resumed = []
        while len(log) < 5:
            before = len(log)
            await asyncio.sleep(0)
            resumed.append(len(log) - before)
        assert max(resumed) == 1
        assert log == connections

    asyncio.run(work())
