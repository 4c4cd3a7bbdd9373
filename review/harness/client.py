"""Stand-in for a client: sends one request and reads its answer."""

import asyncio


class Answer:
    """An answer; status 0 if the connection ended without a complete one."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


LOST = Answer(0, {}, b"")


class Connection:
    """A connection to a front address, which may be kept for many requests."""

    def __init__(self, address):
        self.address = address
        self._reader = None
        self._writer = None

    async def request(
        self, method, target, host, request_id, deadline_ms, body=b"", headers=()
    ):
        """Sends a request and returns its answer, within its deadline."""
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        *self.address
                    )
                lines = [
                    f"{method} {target} HTTP/1.1",
                    f"Host: {host}",
                    f"X-Request-Id: {request_id}",
                    f"X-Deadline-Ms: {deadline_ms}",
                    *(f"{name}: {value}" for name, value in headers),
                ]
                if body:
                    lines.append(f"Content-Length: {len(body)}")
                head = "\r\n".join([*lines, "", ""]).encode("latin-1")
                self._writer.write(head + body)
                answer = await self._read()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return LOST
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def _read(self):
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            if name:
                headers[name.lower()] = value.strip()
        body = await self._reader.readexactly(int(headers.get("content-length", 0)))
        return Answer(int(first.split(" ")[1]), headers, body)

    def close(self):
        """Closes the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None
