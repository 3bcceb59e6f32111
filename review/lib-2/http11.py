"""A small HTTP/1.1 client and server over asyncio for the stand-ins of the review."""

import asyncio
import json


async def read_message(reader):
    """Returns (first line, headers, body)."""
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
    """Serves until abort(). handle(method, path, headers, body) returns (status, JSON value)."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.listener = None

    async def start(self, host, port):
        self.listener = await asyncio.start_server(self._on_connection, host, port)

    def abort(self):
        """Closes the listener and resets the open connections, as the end of a process does."""
        if self.listener:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _on_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                status, value = await self.handle(method, path, headers, body)
                text = json.dumps(value).encode() if value is not None else b""
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def request(address, method, path, value=None, headers=None, timeout=3.0):
    """Returns (status, body bytes), or None if no complete response arrives within the timeout.

    Each request has a connection of its own, which is closed when the caller gives up.
    """
    body = json.dumps(value).encode() if value is not None else b""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}", "Content-Type: application/json"]
            lines += [f"{name}: {text}" for name, text in {"Host": address[0], **(headers or {})}.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, EOFError, ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return None
