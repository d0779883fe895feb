"""Puts streams on a host and counts what comes, as cheaply as it can."""

import asyncio
import os
from pathlib import Path

import aiohttp
import attrs
import msgspec

TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")


@attrs.define
class LoadResult:
    """What a load did.

    Attributes:
        events: Events received.
        wire_bytes: Bytes received.
        seconds: How long it took.
        failures: Streams that did not end well.
    """

    events: int = 0
    wire_bytes: int = 0
    seconds: float = 0.0
    failures: int = 0


async def run_streams(
    url: str, body: dict, count: int, *, headers: dict[str, str] | None = None
) -> LoadResult:
    """Run streams side by side and count their events.

    Args:
        url: Where to post.
        body: What to post.
        count: How many at once.
        headers: Headers to send.
    """
    result = LoadResult()
    data = msgspec.json.encode(body)
    loop = asyncio.get_running_loop()
    started = loop.time()
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=300),
    ) as session:

        async def run_one() -> None:
            async with session.post(url, data=data, headers=headers) as response:
                last = b""
                while chunk := await response.content.readany():
                    result.events += chunk.count(b"data: {")
                    result.wire_bytes += len(chunk)
                    last = chunk
                result.failures += b"[DONE]" not in last

        await asyncio.gather(*(run_one() for _ in range(count)))
    result.seconds = loop.time() - started
    return result


def cpu_seconds(pid: int) -> float:
    """Return the processor time a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_A_SECOND


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"no resident memory for {pid}")
