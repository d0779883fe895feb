"""The runners get another software version while no host runs."""

import asyncio
import contextlib
import re
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from testbed import (  # noqa: E402
    Channel,
    Host,
    Runner,
    Testbed,
    is_trouble_on,
    make_config,
    make_route,
    make_service,
    read_head,
    run_case,
)

SERVICE = "model"
#: Events of a stream, and seconds between two of them.
EVENTS, GAP = 200, 0.03
OPTIONS = (f"--events={EVENTS}", f"--gap={GAP}")
RUNNERS, HOSTS, STREAMS = 3, 3, 12
#: Seconds from the start of the streams to the loss of the hosts, of that loss, and of
#: the longest one.
LOSS_AT, LOSS, LOSS_LIMIT = 2.0, 2.5, 2.6
#: Seconds for which a runner serves on after its entry has gone, and a little more.
DRAIN = 2.0 + 0.2
#: Tries of a requester after the first one, and its time budget in seconds.
RETRIES, BUDGET = 3, 25.0
#: More streams than this may not hold events of two versions.
ALLOWED = 2
EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+ of (\w+)\n\n")


@dataclass
class Requester:
    """A requester that takes its stream up again after a broken channel."""

    bed: Testbed
    name: str
    hosts: list[Host]
    position: int = 0
    first_id: str = ""
    versions: list[str] = field(default_factory=list)
    is_whole: bool = False

    async def run(self) -> None:
        """Send the request, and retry while the time budget lasts."""
        until = time.monotonic() + BUDGET
        for number in range(1 + RETRIES):
            host = await self._find_host(number, until)
            if host is None:
                return
            wait = await self._try(host, f"{self.name}-{number}", until)
            if self.is_whole:
                return
            await asyncio.sleep(min(wait, (until - time.monotonic()) / 3))

    async def _find_host(self, number: int, until: float) -> Host | None:
        """Return a host that says it is ready, as the platform's address does."""
        start = int(self.name.rpartition("-")[2]) + number
        while time.monotonic() < until:
            for step in range(HOSTS):
                host = self.hosts[(start + step) % HOSTS]
                with contextlib.suppress(OSError, EOFError, TimeoutError):
                    if await self.bed.ask_ready(host) == 200:
                        return host
            await asyncio.sleep(0.1)
        return None

    async def _try(self, host: Host, request_id: str, until: float) -> float:
        """Make one try; return the seconds to wait before the next one."""
        headers = {
            "X-Model": "m",
            "X-Token-Usage": "500,300",
            "X-Prefix-Hash": f"aa:200,{self.name.encode().hex()}:300",
        }
        if self.position:
            headers["Last-Event-Id"] = str(self.position)
            headers["Resumes"] = self.first_id
        left = int((until - time.monotonic()) * 1000)
        channel = Channel(host)
        status, wait, before = 0, 0.2, len(self.versions)
        try:
            await channel.open()
            channel.send(
                "POST",
                "/draft/1",
                request_id,
                body=b"history",
                budget_ms=left,
                headers=headers,
            )
            first, fields = await read_head(channel.reader)
            status = int(first.split()[1])
            if status == 200:
                await self._read(channel, request_id)
            else:
                wait = float(fields.get("retry-after", "0.2"))
        except (OSError, EOFError, TimeoutError):
            pass
        finally:
            channel.close()
        got = self.versions[before:]
        self.bed.say(
            f"{request_id} at {host.name}: {status}, {len(got)} events of "
            f"{'+'.join(sorted(set(got))) or 'no version'}, whole {self.is_whole}"
        )
        return wait

    async def _read(self, channel: Channel, request_id: str) -> None:
        """Read the chunks of a stream; raise EOFError if it breaks off."""
        self.first_id = self.first_id or request_id
        data = b""
        while line := await channel.reader.readline():
            size = int(line.split(b";")[0], 16)
            if not size:
                self.is_whole = True
                return
            data += await channel.reader.readexactly(size)
            await channel.reader.readline()
            while found := EVENT.match(data):
                data = data[found.end() :]
                self.position = int(found[1])
                self.versions.append(found[2].decode())


async def run(bed: Testbed) -> bool:
    """Return whether at most two streams hold events of two versions."""
    route = make_route(
        "draft",
        "stream",
        SERVICE,
        timeout_ms=25000,
        target_latency_ms=4500,
        target_gap_ms=700,
        session_affinity=True,
        resume_streams=True,
        max_attempts=5,
    )
    service = make_service(SERVICE, is_engine=True)
    service["engine"]["backups"] = False
    bed.store.put("config", "main", make_config(1, [route], [service]))
    runners = [
        await bed.start_runner(f"i-{number}", SERVICE, *OPTIONS)
        for number in range(RUNNERS)
    ]
    hosts = [bed.add_host(number + 1) for number in range(HOSTS)]
    for host in hosts:
        bed.start_host(host)
    for host in hosts:
        await bed.wait_ready(host)
    await asyncio.sleep(3)
    requesters = [Requester(bed, f"draft-{number}", hosts) for number in range(STREAMS)]
    drafts = [asyncio.create_task(requester.run()) for requester in requesters]
    await asyncio.sleep(LOSS_AT)
    if is_trouble_on():
        await replace_all(bed, hosts, runners)
    await asyncio.gather(*drafts)
    mixed = [item.name for item in requesters if len(set(item.versions)) > 1]
    bed.say(f"streams of two versions: {' '.join(mixed) or 'none'}")
    bed.check_served(": 200, ")
    return len(mixed) <= ALLOWED


async def replace_all(bed: Testbed, hosts: list[Host], runners: list[Runner]) -> None:
    """Stop all hosts for a time, in which v2 replaces v1 and the store forgets it."""
    lost_at = time.monotonic()
    for host in hosts:
        host.popen.kill()
    for host in hosts:
        host.popen.wait()
    bed.say("all hosts lose power")
    for number in range(RUNNERS):
        await bed.start_runner(f"j-{number}", SERVICE, *OPTIONS, version="v2")
    bed.say("runners of v2 serve")
    for runner in runners:
        runner.is_announced = False
        bed.store.remove("servers", runner.name)
    bed.say("the entries of v1 are gone")
    bed.store.forget_history()
    bed.say("the store forgets its history")

    async def end_v1() -> None:
        await asyncio.sleep(DRAIN)
        for runner in runners:
            runner.popen.terminate()
        bed.say("the runners of v1 end")

    bed.tasks.append(asyncio.create_task(end_v1()))
    await asyncio.sleep(max(0.0, lost_at + LOSS - time.monotonic()))
    for host in hosts:
        bed.start_host(host)
    bed.check_dose("hosts without power, s", time.monotonic() - lost_at, LOSS_LIMIT)


if __name__ == "__main__":
    run_case(run, CASE)
