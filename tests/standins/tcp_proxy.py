"""A loopback TCP proxy that delays, cuts one way, silences or resets."""

import asyncio
import contextlib


class TcpProxy:
    """Forward connections to ``target``; ``mode`` makes trouble.

    "" forwards, "delay" holds each piece back, "one_way" drops what comes back,
    "silent" drops both ways, "reset" breaks connections off.
    """

    DELAY = 0.3  # seconds

    def __init__(self, target):
        self.target = target
        self.mode = ""
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()

    def close(self):
        self._server.close()
        self.break_off()

    def break_off(self):
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        await asyncio.gather(
            self._pump(reader, far_writer, back=False),
            self._pump(far_reader, writer, back=True),
        )
        self._writers -= {writer, far_writer}

    async def _pump(self, reader, writer, back):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(self.DELAY)
                dropped = self.mode == "silent" or (back and self.mode == "one_way")
                if not dropped:
                    writer.write(data)
                    await writer.drain()
        writer.close()
