"""A host that stops takes requests on kept channels, and cuts them at its end."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402
from standins import BROKEN, ENGINES, HELD, STAMP, UnfitError  # noqa: E402

#: Time until the first event, and between two events, in seconds.
PREFILL_SECONDS = 0.3
INTERVAL_SECONDS = 0.03
#: Number of events of the usual streams, of the long ones, and of one that runs for
#: nearly as long as a stop may take.
USUAL, LONG, LONGEST = (45, 50, 55, 60, 65), 150, 220
#: Number of usual streams on each channel at first: one stream in nine is long.
USUAL_TURNS = 6
#: Number of channels, each of one requester.
CHANNELS = 4
#: Time from the start of the long streams to the stop, in seconds.
STOP_AFTER_SECONDS = 1.0
#: Time after a SIGTERM up to which the rule excuses a request that is still worked on.
EXCUSED_SECONDS = 3.0


async def stream(request, reader, writer) -> bool:
    """Run a request; its path tells how many events it makes."""
    count = int(request.target.rpartition("/")[2])
    headers = {
        "X-Request-Id": request.id,
        "X-Response-Stamp": STAMP,
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
    }
    await asyncio.sleep(PREFILL_SECONDS)
    writer.write(standins.head_of(200, headers))
    for number in range(1, count + 1):
        data = b"id: %d\ndata: piece %d\n\n" % (number, number)
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await writer.drain()
        await asyncio.sleep(INTERVAL_SECONDS)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


class Requester:
    """A requester with one channel, which it keeps for its requests."""

    def __init__(self, host: standins.EntryHost, record: standins.Record) -> None:
        self._host, self._record = host, record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        #: When each request was sent that got no complete answer, by its id.
        self.cut_at: dict[str, float] = {}
        #: Whether the host allows another request on the channel.
        self.is_kept = True

    async def open(self) -> None:
        """Open the channel."""
        address = self._host.ip, 8740
        self._reader, self._writer = await asyncio.open_connection(*address)

    def close(self) -> None:
        """Close the channel."""
        self._writer.close()

    async def ask(self, request_id: str, count: int) -> str:
        """Send a request on the channel and return how its answer ended."""
        sent_at = time.monotonic()
        self._writer.write(
            standins.request_bytes(
                f"/draft/{count}",
                request_id,
                X_Model="m",
                X_Token_Usage="1000,1200",
                X_Prefix_Hash=f"5c1e07a2:200,{request_id.encode().hex()}:800",
            )
        )
        self._record.write(f"{request_id} sent, will have {count} events")
        try:
            result = await self._read(count)
        except (ConnectionError, asyncio.IncompleteReadError):
            result = "closed without an answer"
            self.is_kept = False
        if result.startswith("cut"):
            self.cut_at[request_id] = sent_at
        self._record.write(f"{request_id} {result}, channel kept {self.is_kept}")
        return result

    async def _read(self, count: int) -> str:
        head = await self._reader.readuntil(b"\r\n\r\n")
        status = int(head.split()[1])
        self.is_kept = b"connection: close" not in head.lower()
        if status != 200:
            self.is_kept = False
            return f"refused with {status}"
        events = 0
        try:
            while size := int(await self._reader.readuntil(b"\r\n"), 16):
                data = await self._reader.readexactly(size + 2)
                events += data.count(b"\n\n")
            await self._reader.readexactly(2)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.is_kept = False
            return f"cut after {events} of {count} events"
        return f"answered whole, {events} events"


async def play(host: standins.EntryHost, record: standins.Record) -> bool:
    """Play the case, and return whether the rule was broken."""
    requesters = [Requester(host, record) for _ in range(CHANNELS + 1)]
    for requester in requesters:
        await requester.open()

    async def warm_up(number: int, requester: Requester) -> None:
        for turn in range(USUAL_TURNS):
            count = USUAL[(number + turn) % len(USUAL)]
            await requester.ask(f"usual-{number}-{turn}", count)

    await asyncio.gather(*(warm_up(*item) for item in enumerate(requesters)))

    async def continue_on(number: int, requester: Requester) -> None:
        await requester.ask(f"first-{number}", LONG)
        if requester.is_kept:
            count = LONG if number % 2 else USUAL[number % len(USUAL)]
            await requester.ask(f"second-{number}", count)

    *others, last = requesters
    work = [asyncio.create_task(continue_on(*item)) for item in enumerate(others)]
    await asyncio.sleep(STOP_AFTER_SECONDS)
    work.append(asyncio.create_task(last.ask("longest", LONGEST)))
    await asyncio.sleep(0.1)
    stopped_at = time.monotonic()
    if standins.has_trouble():
        record.write("SIGTERM to the host")
        host.send_signal(signal.SIGTERM)
    await asyncio.gather(*work)
    lost = {}
    for requester in requesters:
        requester.close()
        for request_id, sent_at in requester.cut_at.items():
            if sent_at > stopped_at + EXCUSED_SECONDS:
                lost[request_id] = sent_at - stopped_at
    for request_id, after in lost.items():
        record.write(f"LOST: {request_id}, sent {after:.1f} s after the SIGTERM")
    if not standins.has_trouble() and any(item.cut_at for item in requesters):
        raise UnfitError("not served without the disruption")
    return bool(lost)


async def main() -> int:
    """Play the case and return the exit code."""
    record = standins.Record(FOLDER)
    store = standins.Store()
    await store.start()
    route = standins.route(
        "r-stream",
        "/draft/",
        "stream",
        ENGINES,
        resume_streams=True,
        target_gap_ms=700,
        session_affinity=True,
    )
    store.put("config", "main", standins.config([route]))
    runners = [
        standins.Runner(f"i-7f3a91c{number}", ENGINES, stream, record)
        for number in range(2)
    ]
    for runner in runners:
        await runner.start(store)
    try:
        async with standins.running_hosts(store) as (host, *_):
            is_broken = await play(host, record)
    finally:
        for runner in runners:
            runner.stop()
        store.stop()
    record.write("the rule is broken" if is_broken else "the rule holds")
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    standins.run(main)
