"""A runner process for review cases: plain calls and streams of events.

A call answers after ``--delay`` seconds. The options add what the protocol page says
of runners: answers without a length, answers in pieces, streams of events. Each run is
one JSON line in ``--log``.
"""

import argparse
import asyncio
import contextlib
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from testbed import encode_head, read_body, read_head

PROOF = "3e1b.07.5a2.600.0.c9f2a4d1"


class Runner:
    """The requests of one runner.

    Args:
        options: The options of the command line.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.log = os.open(options.log, os.O_WRONLY | os.O_APPEND | os.O_CREAT)

    def record(self, what: str, **fields: object) -> None:
        """Write one line of what happened."""
        at = time.monotonic()
        line = json.dumps({"what": what, "at": at, **fields}) + "\n"
        os.write(self.log, line.encode())

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one channel."""
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = first.split()
                if not await self.answer(method, path, headers, body, writer):
                    break
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            with contextlib.suppress(OSError):
                writer.close()

    async def answer(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request; return whether the channel is kept."""
        name = self.options.name
        if path == "/health":
            self.send(writer, 200, {"X-Instance-Id": name}, b"")
            return True
        if path.startswith("/api/report"):
            models = [{"name": "m", "version": 1, "adapters": []}]
            report = {
                "stage": "both",
                "models": models if self.options.events else [],
                "busy": False,
                "sequence": 1,
                "queued": 0,
                "running": 0,
                "kv_used": 0,
                "kv_total": 55000,
                "handles": 0,
                "runs": [],
            }
            self.send(writer, 200, {}, json.dumps(report).encode())
            return True
        if path.startswith("/api/kv-events"):
            events = {"epoch": 1, "next_token": 0, "lost": False, "events": []}
            self.send(writer, 200, {}, json.dumps(events).encode())
            return True
        if path.startswith("/api/"):
            self.send(writer, 404, {}, b"")
            return True
        request_id = headers.get("x-request-id", "")
        expected = headers.get("x-expect-instance", name)
        if expected != name:
            self.record("rejected", id=request_id, expected=expected)
            self.send(writer, 421, {"X-Instance-Id": name}, b"")
            return True
        self.record("runs", id=request_id, method=method, path=path, size=len(body))
        head = {"X-Request-Id": request_id, "X-Response-Stamp": PROOF}
        if self.options.events:
            return await self.stream(writer, head, headers)
        await asyncio.sleep(self.options.delay)
        answer = make_body(request_id, self.options.size)
        if not self.options.unframed:
            self.send(writer, 200, head, answer)
            self.record("answered", id=request_id)
            return True
        writer.write(encode_head("HTTP/1.1 200 OK", head))
        step = max(1, len(answer) // max(1, self.options.pieces))
        for start in range(0, len(answer), step):
            writer.write(answer[start : start + step])
            await writer.drain()
            await asyncio.sleep(self.options.gap)
        self.record("answered", id=request_id)
        return False

    def send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Send a whole answer."""
        head = headers | {"Content-Length": str(len(body))}
        writer.write(encode_head(f"HTTP/1.1 {status} x", head) + body)

    async def stream(
        self, writer: asyncio.StreamWriter, head: dict[str, str], asked: dict[str, str]
    ) -> bool:
        """Send a stream of events, in chunks or without a mark of its end."""
        is_chunked = not self.options.unframed
        head |= {"Content-Type": "text/event-stream"}
        head |= {"Transfer-Encoding": "chunked"} if is_chunked else {}
        await asyncio.sleep(self.options.delay)
        writer.write(encode_head("HTTP/1.1 200 OK", head))
        start = int(asked.get("last-event-id", "0"))
        for number in range(start + 1, self.options.events + 1):
            text = f"id: {number}\ndata: piece {number} of {self.options.version}\n\n"
            event = text.encode()
            chunk = f"{len(event):x}\r\n".encode() + event + b"\r\n"
            writer.write(chunk if is_chunked else event)
            await writer.drain()
            await asyncio.sleep(self.options.gap)
        if is_chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record("answered", id=head["X-Request-Id"])
        return is_chunked


def make_body(request_id: str, size: int) -> bytes:
    """Return the body that answers a request."""
    text = f"answer to {request_id} "
    return (text * (size // len(text) + 1))[:size].encode()


async def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--ready", required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--version", default="v1")
    parser.add_argument("--delay", type=float, default=0.02)
    parser.add_argument("--size", type=int, default=800)
    parser.add_argument("--unframed", action="store_true")
    parser.add_argument("--pieces", type=int, default=1)
    parser.add_argument("--gap", type=float, default=0.0)
    parser.add_argument("--events", type=int, default=0)
    options = parser.parse_args()
    server = await asyncio.start_server(
        Runner(options).serve, options.ip, options.port, backlog=512
    )
    host, port = server.sockets[0].getsockname()
    ready = Path(options.ready)
    part = ready.with_suffix(".part")
    part.write_text(f"{host}:{port}")
    os.replace(part, ready)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
