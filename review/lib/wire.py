"""HTTP/1.1 over asyncio, a recorder, and a proxy that can hold back what it received."""

import asyncio
import json
import time


class Record:
    """Writes what was sent, answered and run to a file, one event a line, with seconds since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()

    def now(self):
        return time.monotonic() - self.started


async def read_message(reader):
    """Returns (first line, headers, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))


class Server:
    """handle(method, path, headers, body) returns (status, JSON value), or None to leave the call unanswered."""

    def __init__(self, handle):
        self.handle, self.writers, self.listener = handle, set(), None

    async def start(self, host, port):
        self.listener = await asyncio.start_server(self._serve, host, port)

    def abort(self):
        """Closes the port and resets the connections, as the end of a process does."""
        if self.listener:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                answer = await self.handle(method, path, headers, body)
                if answer is None:
                    await asyncio.sleep(30)
                    break
                status, value = answer
                text = json.dumps(value).encode() if value is not None else b""
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def request(address, method, path, value=None, headers=None, timeout=3.0):
    """Returns (status, body bytes), or None if no whole answer came in time."""
    body = b"" if value is None else (value if isinstance(value, bytes) else json.dumps(value).encode())

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            fields = {"Host": address[0], "Content-Type": "application/json", "Content-Length": str(len(body)),
                      **(headers or {})}
            writer.write((f"{method} {path} HTTP/1.1\r\n" +
                          "".join(f"{name}: {text}\r\n" for name, text in fields.items()) + "\r\n").encode() + body)
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, EOFError, ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return None


class Link:
    """A TCP proxy. While it holds, it keeps what it receives and delivers it on release(), whether the sender still
    lives or not, as a network does with packets that a partition held up."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.open = asyncio.Event()
        self.open.set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, *self.listen)

    def hold(self):
        """Connections accepted from now on are held; earlier ones are not concerned."""
        self.open = asyncio.Event()

    def pass_on(self):
        """Later connections pass at once; returns the gate that lets the held ones go."""
        held, self.open = self.open, asyncio.Event()
        self.open.set()
        return held

    async def _serve(self, reader, writer):
        gate = self.open
        data = b""
        try:
            if not gate.is_set():
                while not gate.is_set():
                    try:
                        chunk = await asyncio.wait_for(reader.read(65536), 0.05)
                    except asyncio.TimeoutError:
                        continue
                    except OSError:
                        chunk = b""
                    data += chunk
                    if not chunk:
                        await gate.wait()
                    elif len(data) > 1 << 20:
                        break
            peer_reader, peer_writer = await asyncio.open_connection(*self.target)
            if data:
                peer_writer.write(data)
                await peer_writer.drain()
            await asyncio.gather(self._copy(reader, peer_writer), self._copy(peer_reader, writer))
        except OSError:
            pass
        finally:
            writer.close()

    @staticmethod
    async def _copy(reader, writer):
        try:
            while chunk := await reader.read(65536):
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        await asyncio.sleep(0.5)
        writer.close()
