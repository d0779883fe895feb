"""Hosts that lose their links to endpoints which other hosts still reach."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Awaitable, Callable

import attrs
import pytest

from standins.platform_config import ENGINE, LOOKUPS, make_config
from tests.host_network import Cut, HostNetwork
from tests.platform_system import Answer, PlatformSystem, run

#: Endpoints of each of the two services.
ENDPOINTS = 4
#: First tries that each host receives in a second: by turns a stream, a call that may
#: be repeated, and one that may not.
RATE = 10
PATHS = ("/draft/1", "/look/1", "/book/1")
#: Time after a cut in which it may cost tries, in seconds.
NOTICE_TIME = 1.0
#: Time after it in which callers must be served like those of other hosts, in seconds.
SERVED_TIME = 3.0
#: Time that an answer takes where new connections are to be needed, in seconds.
SLOW_ANSWER = 0.15
#: Share of first tries that may fail at any host.
FAILED_SHARE = 1 / 50


@attrs.frozen(kw_only=True)
class Try:
    """A first try of a caller at one host, and its answer."""

    host: int
    id: str
    path: str
    sent_at: float
    answer: Answer


class CutSystem:
    """Linked hosts in two failure domains, each with links of its own to endpoints."""

    def __init__(self, system: PlatformSystem) -> None:
        self.system = system
        self.network = HostNetwork()
        self._numbers = itertools.count()

    async def start(self, *, hosts: int = 4) -> None:
        system = self.system
        system.store.put("config", "main", make_config())
        for number in range(2 * ENDPOINTS):
            service = ENGINE if number < ENDPOINTS else LOOKUPS
            zone = ("pilar", "tigre")[number % 2]
            name = f"i-{number}"
            runner = await system.add_runner(name, service, zone=zone, gap=0.002)
            self.network.add_endpoint(runner.address)
        seeds = ""
        for number in range(hosts):
            name, zone = f"front-{number}", ("pilar", "tigre")[number % 2]
            with self.network.starting(name):
                host = await system.add_host(name, seeds=seeds, zone=zone)
            seeds = seeds or str(host.settings.peer_listen)
        await system.wait_ready()
        for host in system.hosts:
            while len(host.roster.linked()) < hosts - 1:
                await asyncio.sleep(0.02)

    def cut(self, count: int, how: Cut) -> None:
        """Cut the first hosts off from all endpoints.

        Where open connections go on, more are needed than there are: answers take
        longer from now on.
        """
        if how is Cut.REFUSED:
            for runner in self.system.runners.values():
                runner.faults.answer_delay = runner.faults.first_delay = SLOW_ANSWER
        for host in self.system.hosts[:count]:
            self.network.cut(host.settings.host_id, how)

    def heal(self) -> None:
        for host in self.system.hosts:
            self.network.heal(host.settings.host_id)

    async def load(self, *, seconds: float) -> list[Try]:
        """Send first tries at a steady rate to each host, and wait for the answers."""
        began_at = asyncio.get_running_loop().time()
        numbers = range(int(seconds * RATE))
        hosts = range(len(self.system.hosts))
        return await asyncio.gather(
            *(
                self._send(host, number, began_at)
                for number in numbers
                for host in hosts
            )
        )

    def check_runs(self, tries: list[Try]) -> None:
        """Check that no call ran twice that may run at most once."""
        runners = self.system.runners.values()
        runs = Counter(name for runner in runners for name in runner.ran)
        once = [item.id for item in tries if item.path == PATHS[2]]
        assert [name for name in once if runs[name] > 1] == []

    async def _send(self, host: int, number: int, began_at: float) -> Try:
        time = asyncio.get_running_loop().time
        await asyncio.sleep(number / RATE)
        path = PATHS[number % len(PATHS)]
        request_id = f"t{next(self._numbers)}-{host}"
        send = self.system.stream if path == PATHS[0] else self.system.send
        sent_at = time() - began_at
        answer = await send(
            path, host=self.system.hosts[host], X_Request_Id=request_id, body=b"b"
        )
        return Try(host=host, id=request_id, path=path, sent_at=sent_at, answer=answer)


def run_cut(test: Callable[[CutSystem], Awaitable[None]]) -> None:
    """Run a test with a system whose hosts' links can be cut."""

    async def main(system: PlatformSystem) -> None:
        cut_system = CutSystem(system)
        try:
            await test(cut_system)
        finally:
            cut_system.network.stop()

    run(main)


def failed(tries: list[Try]) -> list[tuple[int, str, int]]:
    """Return host, path and status of the tries that were not served."""
    return [
        (item.host, item.path, item.answer.status)
        for item in tries
        if item.answer.status != 200 or not item.answer.is_whole
    ]


@pytest.mark.parametrize("how", list(Cut))
@pytest.mark.parametrize("count", [1, 3])
class TestHostsWithoutLinks:
    # Guards against refusals by hosts that lost their links to all endpoints, while
    # other hosts still reach these.
    def test_their_callers_are_served_like_those_of_other_hosts(self, count, how):
        async def test(cut_system: CutSystem) -> None:
            await cut_system.start()
            before = await cut_system.load(seconds=0.6)
            assert failed(before) == []
            cut_system.cut(count, how)
            tries = await cut_system.load(seconds=NOTICE_TIME + SERVED_TIME)
            counted = [item for item in tries if item.sent_at >= NOTICE_TIME]
            at_cut = [item for item in counted if item.host < count]
            at_others = [item for item in counted if item.host >= count]
            assert len(failed(at_others)) <= FAILED_SHARE * len(at_others)
            assert len(failed(at_cut)) <= FAILED_SHARE * len(at_cut), failed(at_cut)
            cut_system.heal()
            after = await cut_system.load(seconds=1.6)
            late = [item for item in after if item.sent_at >= NOTICE_TIME]
            assert failed(late) == []
            cut_system.check_runs(before + tries + after)

        run_cut(test)
