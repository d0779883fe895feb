"""Load generator with a low overhead: opens streams and counts events and bytes."""

import asyncio
import os
from pathlib import Path

import aiohttp
import attrs
import msgspec

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@attrs.define
class LoadResult:
    """Totals over all streams of one load.

    Attributes:
        events: Number of events received.
        wire_bytes: Number of body bytes received.
        seconds: Duration of the load, in seconds.
        failures: Number of streams without ``[DONE]`` in their last chunk.
    """

    events: int = 0
    wire_bytes: int = 0
    seconds: float = 0.0
    failures: int = 0


async def run_streams(
    url: str, body: dict, count: int, *, headers: dict[str, str] | None = None
) -> LoadResult:
    """Run streams concurrently and count their events.

    Args:
        url: URL that receives the POST requests.
        body: JSON body of each request.
        count: Number of concurrent streams.
        headers: Additional request headers.
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
    """Return the user and system CPU time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"/proc/{pid}/status has no VmRSS line")
