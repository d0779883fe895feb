"""A lost stream goes on at a runner that has said that it leaves."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402
from standins import BROKEN, DRAIN_SECONDS, ENGINES, HELD, STAMP  # noqa: E402

RUNNERS = 4
EVENTS = 40
INTERVAL_SECONDS = 0.03
#: Time until the first event: a prompt of 18,000 tokens at 5 tokens a millisecond.
PREFILL_SECONDS = 3.6
#: Time from the request until the runner with its copy says that it leaves.
LEAVES_AFTER_SECONDS = 0.2
#: Time from that until the request's own runner crashes.
CRASH_AFTER_SECONDS = 2.6
#: Time for which a runner that leaves still serves, in seconds.
SERVES_ON_SECONDS = 3.5


class Engine(standins.Runner):
    """A model runner, which records when requests reach it."""

    def __init__(self, name: str, record: standins.Record) -> None:
        super().__init__(name, ENGINES, self._stream, record)
        self.requests: list[tuple[float, standins.Request]] = []

    async def _stream(self, request, reader, writer) -> bool:
        self.requests.append((time.monotonic(), request))
        copy = request.headers.get("kv-from", "none")
        self._record.write(f"{request.id} reaches {self.name}, continues copy: {copy}")
        await asyncio.sleep(PREFILL_SECONDS)
        headers = {
            "X-Request-Id": request.id,
            "X-Response-Stamp": STAMP,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(standins.head_of(200, headers))
        start = int(request.headers.get("last-event-id", "0"))
        for number in range(start + 1, EVENTS + 1):
            data = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(INTERVAL_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def ask(host: standins.EntryHost, record: standins.Record) -> bool:
    """Send the request; return whether its answer was whole."""
    reader, writer = await asyncio.open_connection(host.ip, 8740)
    writer.write(
        standins.request_bytes(
            "/draft/1",
            "q1",
            X_Model="m",
            X_Token_Usage="18000,200",
            X_Prefix_Hash="5c1e07a2:200,91bd3f06:17800",
        )
    )
    record.write("q1 sent")
    received = b""
    try:
        while data := await reader.read(65536):
            received += data
            if received.endswith(b"0\r\n\r\n") or b"HTTP/1.1 5" in received:
                break
    except ConnectionError:
        record.write("q1: its channel is reset")
    writer.close()
    line = received.partition(b"\r\n")[0].decode()
    count = received.count(b"id: ")
    record.write(f"q1 answered: {line or 'nothing'}, {count} of {EVENTS} events")
    return count == EVENTS


async def leave(engine: Engine, store: standins.Store, record) -> float:
    """Say that a runner leaves, end it later, and return when the store confirmed."""
    store.put("servers", engine.name, engine.entry("draining"))
    record.write(f"{engine.name} leaves: confirmed by the store")
    confirmed_at = time.monotonic()

    def end() -> None:
        record.write(f"{engine.name} ends")
        store.remove("servers", engine.name)
        engine.stop()

    asyncio.get_running_loop().call_later(SERVES_ON_SECONDS, end)
    return confirmed_at


async def play(host, engines: list[Engine], store, record) -> bool:
    """Play the case, and return whether the rule was broken."""
    asking = asyncio.create_task(ask(host, record))
    await asyncio.sleep(LEAVES_AFTER_SECONDS)
    own = next(engine for engine in engines if engine.requests)
    copy_at = own.requests[0][1].headers.get("x-kv-backup")
    keeper = next((item for item in engines if item.address == copy_at), None)
    if keeper is None:
        raise standins.UnfitError("the request has no copy")
    record.write(f"{own.name} runs q1, {keeper.name} keeps its copy")
    if not standins.has_trouble():
        return not await asking
    confirmed_at = await leave(keeper, store, record)
    await asyncio.sleep(CRASH_AFTER_SECONDS)
    record.write(f"{own.name} crashes")
    own.stop()
    is_whole = await asking
    late = [at - confirmed_at for at, _ in keeper.requests]
    late = [after for after in late if after > DRAIN_SECONDS]
    for after in late:
        record.write(f"DRAIN: q1 reached {keeper.name} {after:.2f} s after that")
    record.write(f"answered whole: {is_whole}")
    return bool(late)


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
        max_attempts=2,
        resume_streams=True,
        target_gap_ms=700,
        session_affinity=True,
    )
    store.put("config", "main", standins.config([route]))
    engines = [Engine(f"i-7f3a91c{number}", record) for number in range(RUNNERS)]
    for engine in engines:
        await engine.start(store)
    try:
        async with standins.running_hosts(store) as (host, *_):
            is_broken = await play(host, engines, store, record)
    finally:
        for engine in engines:
            engine.stop()
        store.stop()
    record.write("the rule is broken" if is_broken else "the rule holds")
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    standins.run(main)
