"""Hosts that lose their links to endpoints which other hosts still reach."""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Awaitable, Callable

import attrs
import pytest

from standins.platform_config import ENGINE, LOOKUPS, make_config
from tests.host_network import Cut, HostNetwork
from tests.platform_system import Answer, PlatformSystem, expected_events, run

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
#: Length of a seeded run of cuts, in seconds.
CUTS_SECONDS = 5.0
#: Time after a caller has left in which its run must end, in seconds.
LEAVE_TIME = 0.5
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

    def run_ids(self) -> set[str]:
        """Return the ids of the requests that ran at any endpoint."""
        runners = self.system.runners.values()
        return {name for runner in runners for name in runner.ran}

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


def failed(tries: list[Try]) -> list[tuple[int, str, int, bytes]]:
    """Return host, path, status and body of the tries that were not served."""
    return [
        (item.host, item.path, item.answer.status, item.answer.body)
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


class TestPartialCuts:
    # Guards against a host that treats each endpoint's link apart from the others, or
    # only all of them together.
    @pytest.mark.parametrize("how", [Cut.SILENT, Cut.RESET])
    def test_a_host_that_reaches_some_endpoints_serves_by_all(self, how):
        async def test(cut_system: CutSystem) -> None:
            await cut_system.start()
            system = cut_system.system
            await cut_system.load(seconds=0.6)
            lost = [
                runner
                for number, runner in enumerate(system.runners.values())
                if number % ENDPOINTS
            ]
            for host in system.hosts[:3]:
                cut_system.network.cut(
                    host.settings.host_id,
                    how,
                    addresses=[runner.address for runner in lost],
                )
            ran_before = [len(runner.ran) for runner in lost]
            tries = await cut_system.load(seconds=NOTICE_TIME + 2)
            counted = [item for item in tries if item.sent_at >= NOTICE_TIME]
            assert len(failed(counted)) <= FAILED_SHARE * len(counted)
            ran = [
                len(runner.ran) - before
                for runner, before in zip(lost, ran_before, strict=True)
            ]
            assert min(ran) > 0, "their places are used"
            cut_system.check_runs(tries)

        run_cut(test)


class TestAllHostsCut:
    # Guards against requests that wait for what no host can serve.
    @pytest.mark.parametrize("how", [Cut.SILENT, Cut.RESET])
    def test_requests_are_refused_soon_with_a_time_to_retry(self, how):
        async def test(cut_system: CutSystem) -> None:
            await cut_system.start()
            cut_system.cut(len(cut_system.system.hosts), how)
            await cut_system.load(seconds=1.5)
            time = asyncio.get_running_loop().time
            took = []
            for number in range(12):
                began_at = time()
                host = cut_system.system.hosts[number % 4]
                answer = await cut_system.system.send("/book/1", host=host, body=b"b")
                took.append(time() - began_at)
                assert answer.status == 503
                assert 0 < float(answer.headers["retry-after"]) <= 2
            assert sorted(took)[len(took) // 2] < 0.1, took
            cut_system.heal()
            after = await cut_system.load(seconds=2.5)
            late = [item for item in after if item.sent_at >= 1.5]
            assert failed(late) == []

        run_cut(test)


class TestRunningStreams:
    # Guards against streams that break off with their host's links, although their
    # endpoints go on and other hosts reach these.
    @pytest.mark.parametrize("how", [Cut.SILENT, Cut.RESET])
    def test_they_go_on_through_another_host(self, how):
        async def test(cut_system: CutSystem) -> None:
            await cut_system.start()
            system = cut_system.system
            for runner in system.runners.values():
                runner.events, runner.gap = 60, 0.03
            host = system.hosts[0]
            streams = [asyncio.create_task(system.stream(host=host)) for _ in range(6)]
            await asyncio.sleep(0.6)
            cut_system.network.cut(host.settings.host_id, how)
            answers = await asyncio.gather(*streams)
            assert [answer.body for answer in answers] == [expected_events(60)] * 6
            assert all(answer.is_whole for answer in answers)

        run_cut(test)

    # Guards against an endpoint that goes on for a caller who has left.
    def test_a_caller_that_leaves_ends_the_run_behind_the_other_host(self):
        async def test(cut_system: CutSystem) -> None:
            await cut_system.start()
            system = cut_system.system
            for runner in system.runners.values():
                runner.events, runner.gap = 500, 0.03
            cut_system.cut(1, Cut.RESET)
            stream = asyncio.create_task(system.stream(host=system.hosts[0]))
            runners = system.runners.values()
            while not any(runner.working for runner in runners):
                await asyncio.sleep(0.01)
            stream.cancel()
            async with asyncio.timeout(LEAVE_TIME):
                while any(runner.working for runner in runners):
                    await asyncio.sleep(0.01)

        run_cut(test)


class TestInnocentEndpoints:
    # Guards against cut hosts that tell the others that sound endpoints are dead.
    def test_other_hosts_are_not_told_that_they_are_lost(self):
        async def test(cut_system: CutSystem) -> None:
            await cut_system.start()
            await cut_system.load(seconds=0.6)
            cut_system.cut(3, Cut.SILENT)
            await cut_system.load(seconds=2)
            fleet = cut_system.system.hosts[3].fleet
            ejected = [
                name
                for name in cut_system.system.runners
                if fleet.find(name).ejected_until is not None
            ]
            assert ejected == []

        run_cut(test)


class TestLossOfTheOtherHost:
    # Guards against answers that are lost or doubled when a host ends that reaches the
    # endpoints for others.
    def test_a_stream_goes_on_and_a_call_runs_once(self):
        async def test(cut_system: CutSystem) -> None:
            await cut_system.start(hosts=3)
            system = cut_system.system
            for runner in system.runners.values():
                runner.events, runner.gap = 60, 0.03
            cut_system.cut(1, Cut.RESET)
            host, *others = system.hosts
            streams = [asyncio.create_task(system.stream(host=host)) for _ in range(6)]
            await asyncio.sleep(0.7)
            first = max(others, key=lambda other: other.servers.tunnels.count)
            assert first.servers.tunnels.count
            first.servers.tunnels.stop()
            answers = await asyncio.gather(*streams)
            assert [answer.body for answer in answers] == [expected_events(60)] * 6

        run_cut(test)

    def test_a_planned_stop_breaks_nothing_off(self):
        async def test(cut_system: CutSystem) -> None:
            await cut_system.start(hosts=3)
            system = cut_system.system
            for runner in system.runners.values():
                runner.events, runner.gap = 30, 0.03
            cut_system.cut(1, Cut.RESET)
            host, *others = system.hosts
            streams = [asyncio.create_task(system.stream(host=host)) for _ in range(6)]
            await asyncio.sleep(0.3)
            stopping = max(others, key=lambda other: other.servers.tunnels.count)
            leaving = asyncio.create_task(stopping.leave())
            ran = sum(runner.prompts_read for runner in system.runners.values())
            answers = await asyncio.gather(*streams)
            assert [answer.body for answer in answers] == [expected_events(30)] * 6
            assert ran == sum(
                runner.prompts_read for runner in system.runners.values()
            ), "no stream had to go on elsewhere"
            await leaving

        run_cut(test)


class TestSeededCuts:
    # Guards against what single cuts don't show: cuts that overlap and flap, beside
    # endpoints that crash and hosts that stop.
    @pytest.mark.parametrize("seed", range(4))
    def test_answers_are_whole_and_calls_run_once(self, seed):
        async def test(cut_system: CutSystem) -> None:
            await cut_system.start()
            system = cut_system.system
            rng = random.Random(f"cuts of {seed}")
            loading = asyncio.create_task(cut_system.load(seconds=CUTS_SECONDS))
            stopped = rng.choice(system.hosts[1:])
            stop_at = rng.uniform(1, CUTS_SECONDS - 2)
            began_at = asyncio.get_running_loop().time()
            leaving: asyncio.Task[None] | None = None
            while not loading.done():
                elapsed = asyncio.get_running_loop().time() - began_at
                if leaving is None and elapsed > stop_at:
                    leaving = asyncio.create_task(stopped.leave())
                await _disturb(cut_system, rng)
            tries = await loading
            for item in tries:
                if item.path == PATHS[0] and item.answer.status == 200:
                    whole = item.answer.body == expected_events(20)
                    assert whole or not item.answer.is_whole, item.answer
                if item.answer.status == 503:
                    assert item.id not in cut_system.run_ids(), item
            cut_system.check_runs(tries)
            cut_system.heal()
            await leaving
            system.hosts.remove(stopped)
            after = await cut_system.load(seconds=2.6)
            late = [item for item in after if item.sent_at >= 2.0]
            assert failed(late) == []
            await stopped.stop()

        run_cut(test)


async def _disturb(cut_system: CutSystem, rng: random.Random) -> None:
    """Cut or heal a host's links to some or all endpoints, or crash an endpoint."""
    system = cut_system.system
    host_id = rng.choice(system.hosts).settings.host_id
    draw = rng.random()
    if draw < 0.5:
        addresses = [runner.address for runner in system.runners.values()]
        chosen = rng.sample(addresses, rng.randint(1, len(addresses)))
        cut_system.network.cut(host_id, rng.choice(list(Cut)), addresses=chosen)
    elif draw < 0.9:
        cut_system.network.heal(host_id)
    elif sum(not runner.is_crashed for runner in system.runners.values()) > ENDPOINTS:
        # One of each service stays.
        numbered = list(enumerate(system.runners.values()))
        alive = [item for n, item in numbered if n % ENDPOINTS and not item.is_crashed]
        crashed = rng.choice(alive)
        cut_system.network.crash_endpoint(crashed.address)
        crashed.crash()
    await asyncio.sleep(rng.uniform(0.05, 0.6))
