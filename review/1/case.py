"""A host is killed while it passes on an answer that has no length."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402
from standins import BROKEN, ENGINES, HELD, STAMP, UnfitError  # noqa: E402

EVENTS = 40
INTERVAL_SECONDS = 0.1
#: Number of events after which the host is killed.
KILLED_AFTER = 15
REQUESTS = 4


def event(number: int) -> bytes:
    """Return one event of the stream."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


async def stream(request, reader, writer) -> bool:
    """Run a request: events without a length or chunks, ended by the close."""
    headers = {
        "X-Request-Id": request.id,
        "X-Response-Stamp": STAMP,
        "Content-Type": "text/event-stream",
        "Connection": "close",
    }
    writer.write(standins.head_of(200, headers))
    for number in range(1, EVENTS + 1):
        writer.write(event(number))
        await writer.drain()
        await asyncio.sleep(INTERVAL_SECONDS)
    return False


async def ask(host: standins.EntryHost, number: int, record: standins.Record) -> str:
    """Send one request; return what its requester must take the answer for."""
    request_id = f"q{number}"
    reader, writer = await asyncio.open_connection(host.ip, 8740)
    writer.write(
        standins.request_bytes(
            "/draft/1",
            request_id,
            X_Model="m",
            X_Token_Usage="500,200",
            X_Prefix_Hash=f"5c1e07a2:200,{number:x}:300",
        )
    )
    record.write(f"{request_id} sent")
    received, end = b"", "closed in order"
    try:
        while data := await reader.read(65536):
            received += data
    except ConnectionError as error:
        end = f"reset ({error})"
    writer.close()
    head, _, body = received.partition(b"\r\n\r\n")
    lines = head.lower().split(b"\r\n")
    names = {line.partition(b":")[0] for line in lines[1:]}
    is_marked = bool(names & {b"content-length", b"transfer-encoding"})
    is_success = lines[0].startswith(b"http/1.1 200") and b"x-response-stamp" in names
    if b"content-length" in names:
        is_complete = len(body) == _length_of(lines)
    elif is_marked:
        is_complete = body.endswith(b"0\r\n\r\n")
    else:
        # Without a length, the answer finishes when its channel finishes.
        is_complete = end == "closed in order"
    count = body.count(b"\n\n")
    framing = "marked" if is_marked else "none"
    record.write(
        f"{request_id} answered: success {is_success}, length {framing}, {end},"
        f" {count} of {EVENTS} events, looks complete {is_complete}"
    )
    if not is_success or not is_complete:
        return "incomplete"
    return "whole" if count == EVENTS else "truncated"


def _length_of(lines: list[bytes]) -> int:
    """Return the length that the head of an answer states."""
    line = next(line for line in lines if line.startswith(b"content-length"))
    return int(line.partition(b":")[2])


async def main() -> int:
    """Play the case and return the exit code."""
    record = standins.Record(FOLDER)
    store = standins.Store()
    await store.start()
    route = standins.route("r-stream", "/draft/", "stream", ENGINES, max_attempts=1)
    store.put("config", "main", standins.config([route]))
    runner = standins.Runner("i-7f3a91c2", ENGINES, stream, record)
    await runner.start(store)
    try:
        async with standins.running_hosts(store) as (host, *_):
            asking = [
                asyncio.create_task(ask(host, number, record))
                for number in range(REQUESTS)
            ]
            if standins.has_trouble():
                await asyncio.sleep(KILLED_AFTER * INTERVAL_SECONDS)
                record.write("SIGKILL to the host")
                host.send_signal(signal.SIGKILL)
            results = await asyncio.gather(*asking)
    finally:
        runner.stop()
        store.stop()
    record.write(f"results: {results}")
    if "truncated" in results:
        record.write("MIXED: a success ended early and looks complete")
        return BROKEN
    if not standins.has_trouble() and set(results) != {"whole"}:
        raise UnfitError("not served without the disruption")
    return HELD


if __name__ == "__main__":
    standins.run(main)
