"""A loopback TCP proxy that delays or resets connections, or drops their data in one or both directions."""

import asyncio


class Proxy:
    """Forwards connections to a target. Faults apply to open and to new connections.

    delay: seconds that each chunk is held back. cut_in, cut_out: drop the bytes to or from the target. A connection
    that lost bytes forwards nothing in that direction any more, even after the fault is cleared.
    """

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.delay = 0.0
        self.cut_in = False
        self.cut_out = False
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._on_connection, *self.listen)

    def reset_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def silence_connections(self):
        """Drops all further data of the open connections; new connections work."""
        for writer in list(self.writers):
            writer.silent = True

    def clear_faults(self):
        self.delay = 0.0
        self.cut_in = self.cut_out = False

    async def _on_connection(self, reader, writer):
        try:
            peer_reader, peer_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self._forward(reader, peer_writer, True), self._forward(peer_reader, writer, False))

    async def _forward(self, reader, writer, inbound):
        writer.silent = False
        self.writers.add(writer)
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if self.cut_in if inbound else self.cut_out:
                    writer.silent = True
                if not writer.silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
