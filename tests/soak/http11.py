"""A small HTTP/1.1 client and server over asyncio, with what the fault soak needs."""

import asyncio
import json


async def read_message(reader):
    """Returns (first line, headers, body) of a request or response, or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


class Server:
    """Serves until abort().

    handle(method, path, headers, body) returns (status, JSON value), or None to send no response.
    """

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.listener = None

    async def start(self, host, port):
        self.listener = await asyncio.start_server(self._on_connection, host, port)

    def abort(self):
        """Closes the listener and resets the open connections, as a crash does."""
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _on_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                answer = await self.handle(method, path, headers, body)
                if answer is None:
                    await asyncio.sleep(5)
                    break
                status, value = answer
                text = json.dumps(value).encode() if value is not None else b""
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class ConnectionPool:
    """Idle connections by address, for reuse."""

    def __init__(self):
        self.idle = {}

    async def acquire(self, address):
        while self.idle.get(address):
            reader, writer = self.idle[address].pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.close()
        return await asyncio.open_connection(*address)

    def release(self, address, connection):
        self.idle.setdefault(address, []).append(connection)

    def close(self):
        for connections in self.idle.values():
            for _, writer in connections:
                writer.close()
        self.idle.clear()


async def request(address, method, path, value=None, headers=None, timeout=3.0, raw=None, pool=None):
    """Returns (status, headers, body bytes), or None if no complete response arrives in time."""
    body = raw if raw is not None else (json.dumps(value).encode() if value is not None else b"")

    async def exchange():
        host, port = address
        reader, writer = await (pool.acquire(address) if pool else asyncio.open_connection(host, port))
        reusable = False
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}", "Content-Type: application/json"]
            all_headers = {"Host": host, **(headers or {})}
            lines += [f"{name}: {text}" for name, text in all_headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first, fields, answer = await read_message(reader)
            reusable = pool is not None and fields.get("connection", "").lower() != "close"
            return int(first.split(" ")[1]), fields, answer
        finally:
            if reusable:
                pool.release(address, (reader, writer))
            else:
                writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, EOFError, ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return None
