"""All hosts are killed while the runners of one software version end.

With LEAVING=0 these runners stay; then the script judges LOST of issue 59: whether
streams that are taken up go on half as often as new ones begin.
"""

import asyncio
import contextlib
import os
import re
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402
from standins import BROKEN, ENGINES, HELD, STAMP, UnfitError  # noqa: E402

EVENTS = 150
INTERVAL_SECONDS = 0.06
PREFILL_SECONDS = 0.3
REQUESTERS = 12
#: Whether the runners of one version leave.
IS_LEAVING = os.environ.get("LEAVING", "1") != "0"
#: Number of further tries of a requester, and the pause before each, in seconds.
RETRIES, RETRY_PAUSE_SECONDS = (4, 0.8) if IS_LEAVING else (6, 1.5)
BUDGET_SECONDS = 25.0
#: Time from the requests until the runners of one version say that they leave.
LEAVE_AFTER_SECONDS = 1.0
#: Time for which these serve on, in seconds; the sheet's drain_ms and a little longer.
SERVE_ON_SECONDS = 2.4
#: Time from the kill of all hosts to the end of these runners, in seconds.
END_AFTER_SECONDS = 0.2
#: Time after which the platform starts killed hosts again, in seconds.
RESTART_SECONDS = 1.0
#: Time from the restart until machines are in touch, and new streams are sent.
CONTACT_SECONDS = 3.0
#: Number of streams that may hold events of two versions.
MAX_MIXED = 2
VERSIONS = ("v1", "v1", "v2", "v2")
EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+ of (v\d)\n\n")


class Engine(standins.Runner):
    """A model runner, whose events name the version of its software."""

    def __init__(self, name: str, version: str, record: standins.Record) -> None:
        super().__init__(name, ENGINES, self._stream, record, version)

    async def _stream(self, request, reader, writer) -> bool:
        start = int(request.headers.get("last-event-id", "0"))
        self._record.write(
            f"{request.id} reaches {self.name} of {self.version}, after event {start}"
        )
        await asyncio.sleep(PREFILL_SECONDS)
        headers = {
            "X-Request-Id": request.id,
            "X-Response-Stamp": STAMP,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(standins.head_of(200, headers))
        for number in range(start + 1, EVENTS + 1):
            text = f"id: {number}\ndata: piece {number} of {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
            await asyncio.sleep(INTERVAL_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Requester:
    """A requester that takes its stream up again after a broken channel."""

    def __init__(self, number: int, hosts, record: standins.Record) -> None:
        self._number, self._hosts, self._record = number, hosts, record
        self._first_id = ""
        self._received = 0
        #: The versions of the events, in the order of their first event.
        self.versions: list[str] = []
        self.is_whole = False

    async def run(self) -> None:
        """Send the request, and take the stream up until it is whole."""
        until = time.monotonic() + BUDGET_SECONDS
        for turn in range(1 + RETRIES):
            if turn:
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
            request_id = f"q{self._number}-{turn}"
            host = self._hosts[(self._number + turn) % len(self._hosts)]
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._try(request_id, host, until - time.monotonic())
            state = "whole" if self.is_whole else "broken off"
            self._record.write(
                f"{request_id} at {host.name}: {state} after event {self._received},"
                f" versions {self.versions}"
            )
            if self.is_whole:
                return

    async def _try(self, request_id: str, host, left: float) -> None:
        reader, writer = await asyncio.open_connection(host.ip, 8740)
        fields = {}
        if self._received:
            fields = {"Last_Event_Id": str(self._received), "Resumes": self._first_id}
        writer.write(
            standins.request_bytes(
                "/draft/1",
                request_id,
                X_Model="m",
                X_Token_Usage="1000,1000",
                X_Prefix_Hash=f"5c1e07a2:200,{self._number:x}:800",
                X_Deadline_Ms=str(int(left * 1000)),
                **fields,
            )
        )
        try:
            await self._read(request_id, reader)
        finally:
            writer.close()

    async def _read(self, request_id: str, reader: asyncio.StreamReader) -> None:
        data = await reader.readuntil(b"\r\n\r\n")
        status = int(data.split()[1])
        if status != 200:
            self._record.write(f"{request_id} is refused with {status}")
            return
        while part := await reader.read(65536):
            data += part
            while found := EVENT.search(data):
                data = data[found.end() :]
                self._first_id = self._first_id or request_id
                self._received = int(found[1])
                version = found[2].decode()
                if version not in self.versions:
                    self.versions.append(version)
            if data.endswith(b"0\r\n\r\n"):
                self.is_whole = self._received == EVENTS
                return


async def kill_all_while_v2_ends(hosts, engines: list[Engine], store, record) -> None:
    """End the runners of one version as planned, and kill all hosts meanwhile."""
    leaving = [item for item in engines if item.version == "v2" and IS_LEAVING]
    await asyncio.sleep(LEAVE_AFTER_SECONDS)
    for engine in leaving:
        store.put("servers", engine.name, engine.entry("draining"))
        record.write(f"{engine.name} of v2 leaves: confirmed by the store")
    await asyncio.sleep(SERVE_ON_SECONDS)
    record.write("SIGKILL to all hosts")
    for host in hosts:
        host.send_signal(signal.SIGKILL)
    await asyncio.sleep(END_AFTER_SECONDS)
    for engine in leaving:
        record.write(f"{engine.name} of v2 ends")
        store.remove("servers", engine.name)
        engine.stop()
    await asyncio.sleep(RESTART_SECONDS - END_AFTER_SECONDS)
    record.write("all hosts start again")
    for host in hosts:
        host.start()


async def play(hosts, engines: list[Engine], store, record) -> bool:
    """Play the case, and return whether the rule was broken."""
    requesters = [Requester(number, hosts, record) for number in range(REQUESTERS)]
    work = [asyncio.create_task(requester.run()) for requester in requesters]
    if standins.has_trouble():
        await kill_all_while_v2_ends(hosts, engines, store, record)
    if not IS_LEAVING:
        return await is_work_lost(hosts, requesters, work, record)
    await asyncio.gather(*work)
    mixed = [item for item in requesters if len(item.versions) > 1]
    record.write(f"streams with events of two versions: {len(mixed)}")
    if not standins.has_trouble() and not all(item.is_whole for item in requesters):
        raise UnfitError("not served without the disruption")
    return len(mixed) > MAX_MIXED


async def is_work_lost(hosts, requesters: list[Requester], work, record) -> bool:
    """Return whether streams taken up go on less than half as often as new begin."""
    await asyncio.sleep(CONTACT_SECONDS)
    new = [Requester(REQUESTERS + number, hosts, record) for number in range(12)]
    await asyncio.gather(*work, *(requester.run() for requester in new))
    taken_up = sum(item.is_whole for item in requesters) / len(requesters)
    begun = sum(item.is_whole for item in new) / len(new)
    record.write(f"share of streams taken up: {taken_up:.2f}, of new ones: {begun:.2f}")
    return taken_up < begun / 2


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
    engines = [
        Engine(f"i-7f3a91c{number}", version, record)
        for number, version in enumerate(VERSIONS)
    ]
    for engine in engines:
        await engine.start(store)
    try:
        async with standins.running_hosts(store) as hosts:
            is_broken = await play(hosts, engines, store, record)
    finally:
        for engine in engines:
            engine.stop()
        store.stop()
    record.write("the rule is broken" if is_broken else "the rule holds")
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    standins.run(main)
