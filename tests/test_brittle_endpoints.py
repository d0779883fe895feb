"""Brittle endpoints: they fall over after a few rejections for want of room."""

import asyncio
from datetime import timedelta

import pytest

from passtally.brittle_endpoints import BrittleEndpoints
from passtally.objects import EndpointStart
from passtally.platform.answer_directives import decode_brittle
from standins.platform_config import ENGINE, LOOKUPS, make_config
from standins.runner import RunnerStandIn
from tests.brittle_fleet import BrittleFleet
from tests.platform_system import PlatformSystem, run

HOSTS = 3
ENDPOINTS = 4
SLOTS = 2
#: Requests that may wait at an endpoint, before and after it has been brittle for
#: SHRINK_TIME seconds.
QUEUE, LATER_QUEUE = 4, 2
SHRINK_TIME = 3.0
#: Rejections in a second that an endpoint bears.
BORNE = 3
#: Run time of a request, in seconds.
WORK = 0.2
#: Time within which an answer is in time, in milliseconds.
TARGET_MS = 2000
#: Time until an endpoint that fell over is back under a new id, in seconds.
BACK_AFTER = 3.0
#: Falls that are allowed in the whole time: 2 and a tenth of the endpoints.
ALLOWED_FALLS = 2 + ENDPOINTS // 10
SECONDS = 6.0
#: Requests per second that all endpoints can serve.
CAPACITY = ENDPOINTS * SLOTS / WORK
#: Share of the capacity that hosts must use while more is asked of them.
USED_SHARE = 0.7


class BrittleSystem:
    """Linked hosts before brittle endpoints that come back after each fall."""

    def __init__(self, system: PlatformSystem) -> None:
        self.system = system
        self.falls: list[str] = []
        self._service_by_name: dict[str, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, service: str) -> None:
        system = self.system
        config = make_config()
        for route in config["routes"]:
            route["target_latency_ms"] = TARGET_MS
        system.store.put("config", "main", config)
        for number in range(ENDPOINTS):
            await self._add(f"i-{number}", service)
        seeds = ""
        for number in range(HOSTS):
            host = await system.add_host(f"front-{number}", seeds=seeds)
            seeds = seeds or str(host.settings.peer_listen)
        await system.wait_ready()
        for host in system.hosts:
            while len(host.roster.linked()) < HOSTS - 1:
                await asyncio.sleep(0.02)

    def shrink(self) -> None:
        for runner in self.system.runners.values():
            runner.faults.queue = LATER_QUEUE

    async def load(self, service: str, path: str, *, rate: float) -> list[int]:
        """Send requests at a rate, and return their statuses."""

        async def send(number: int) -> int:
            await asyncio.sleep(number / rate)
            host = self.system.hosts[number % HOSTS]
            send = self.system.stream if service == ENGINE else self.system.send
            return (await send(path, host=host, body=b"%d" % number)).status

        asyncio.get_running_loop().call_later(SHRINK_TIME, self.shrink)
        return await asyncio.gather(*map(send, range(int(rate * SECONDS))))

    async def _add(self, name: str, service: str) -> None:
        runner = await self.system.add_runner(
            name, service, events=2, gap=0.0, on_crash=self._record_fall
        )
        faults = runner.faults
        faults.slots, faults.queue, faults.brittle = SLOTS, QUEUE, str(BORNE)
        faults.answer_delay = faults.first_delay = WORK
        entry = runner.entry(service, slots=SLOTS)
        self.system.store.put("servers", name, entry)
        self._service_by_name[name] = service

    def _record_fall(self, runner: RunnerStandIn) -> None:
        self.falls.append(runner.name)
        task = asyncio.create_task(self._replace(runner))
        self._tasks.add(task)

    async def _replace(self, runner: RunnerStandIn) -> None:
        self.system.store.remove("servers", runner.name)
        await asyncio.sleep(BACK_AFTER)
        await self._add(f"{runner.name}x", self._service_by_name[runner.name])


@pytest.mark.parametrize(
    ("service", "path"),
    [(LOOKUPS, "/look/1"), (LOOKUPS, "/book/1"), (ENGINE, "/draft/1")],
    ids=["repeatable calls", "calls that run once", "streams"],
)
class TestOverload:
    # Guards against hosts that together make brittle endpoints reject more than these
    # bear, so that one after the other falls over.
    def test_hosts_shed_what_brittle_endpoints_would_reject(self, service, path):
        async def test(system: PlatformSystem) -> None:
            brittle = BrittleSystem(system)
            await brittle.start(service)
            statuses = await brittle.load(service, path, rate=2.5 * CAPACITY)
            assert len(brittle.falls) <= ALLOWED_FALLS, brittle.falls
            served = statuses.count(200)
            assert served >= USED_SHARE * CAPACITY * SECONDS, served
            others = [status for status in statuses if status not in (200, 503)]
            assert len(others) <= len(brittle.falls) * (SLOTS + QUEUE), others

        run(test)

    def test_all_is_served_below_the_capacity(self, service, path):
        async def test(system: PlatformSystem) -> None:
            brittle = BrittleSystem(system)
            await brittle.start(service)
            statuses = await brittle.load(service, path, rate=0.7 * CAPACITY)
            assert brittle.falls == []
            assert statuses.count(200) >= 0.95 * len(statuses)

        run(test)


#: Falls of a single endpoint that are allowed in the whole time of a run.
ALLOWED_ALONE = 2
#: Length of a run in virtual time, in seconds.
RUN_SECONDS = 40.0


class TestManyHosts:
    # Guards against hosts that each keep to a limit of their own, and together to none.
    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize("borne", [1, 3, 10])
    @pytest.mark.parametrize(
        ("hosts", "slots", "queue", "news_delay"),
        [
            (3, 2, 4, 0.03),
            (7, 6, 4, 0.05),
            (7, 64, 8, 0.05),
            (30, 6, 4, 0.1),
            (90, 6, 4, 0.25),
            (90, 24, 6, 0.25),
        ],
    )
    def test_an_endpoint_rarely_falls_over(
        self, hosts, slots, queue, news_delay, borne, seed
    ):
        fleet = BrittleFleet(
            hosts=hosts,
            slots=slots,
            queue=queue,
            borne=borne,
            news_delay=news_delay,
            seed=seed,
        )
        fleet.run(RUN_SECONDS)
        assert fleet.falls <= ALLOWED_ALONE

    @pytest.mark.parametrize(("hosts", "slots", "queue"), [(3, 2, 4), (7, 64, 8)])
    def test_its_places_are_used(self, hosts, slots, queue):
        fleet = BrittleFleet(hosts=hosts, slots=slots, queue=queue, borne=3)
        fleet.run(RUN_SECONDS)
        assert fleet.served >= USED_SHARE * slots / fleet.work * RUN_SECONDS


NOW = timedelta(hours=1)
START = EndpointStart(endpoint_id="e", incarnation=1)


def brittle(borne: int | None = 3, *, hosts: int = 1) -> BrittleEndpoints:
    """Return the limits of a host just after an answer of an endpoint."""
    limits = BrittleEndpoints(count_hosts=lambda: hosts)
    record(limits, borne, sent_at=NOW, now=NOW)
    return limits


def record(
    limits: BrittleEndpoints,
    borne: int | None,
    *,
    sent_at: timedelta,
    now: timedelta,
    start: EndpointStart = START,
) -> None:
    limits.record_answer(
        start,
        borne,
        is_rejected=False,
        open_requests=1,
        places=6,
        sent_at=sent_at,
        now=now,
    )


def may_send(limits: BrittleEndpoints, open_requests: int, **options) -> bool:
    options = {"start": START, "now": NOW} | options
    start, now = options["start"], options["now"]
    return limits.may_send(start, open_requests=open_requests, now=now)


class TestStates:
    def test_a_host_keeps_to_its_share_of_the_places(self):
        limits = brittle(hosts=3)
        assert may_send(limits, 1)
        assert not may_send(limits, 2)

    def test_an_endpoint_that_says_nothing_is_not_limited(self):
        assert may_send(brittle(None), 100)

    def test_an_answer_without_the_directive_lifts_the_limit(self):
        limits = brittle()
        assert not may_send(limits, 6)
        later = NOW + timedelta(seconds=1)
        record(limits, None, sent_at=NOW - timedelta(seconds=1), now=later)
        assert not may_send(limits, 6), "its request was sent before"
        record(limits, None, sent_at=later, now=later)
        assert may_send(limits, 6)

    def test_a_new_start_is_limited_only_while_its_service_is_brittle(self):
        limits = brittle()
        other = EndpointStart(endpoint_id="e", incarnation=2)
        assert may_send(limits, 6, start=other)
        limits.assume(other, places=6, like=START, now=NOW)
        assert not may_send(limits, 6, start=other)
        record(limits, None, sent_at=NOW, now=NOW, start=other)
        assert may_send(limits, 6, start=other)

    def test_one_rejection_is_news_once(self):
        limits, other = brittle(), brittle()
        limits.record_answer(
            START,
            3,
            is_rejected=True,
            open_requests=5,
            places=6,
            sent_at=NOW,
            now=NOW,
        )
        rows = limits.rows(now=NOW)
        assert other.merge(rows, count_open=lambda endpoint_id: 4, now=NOW)
        assert not other.merge(rows, count_open=lambda endpoint_id: 4, now=NOW)


class TestDirective:
    @pytest.mark.parametrize(
        ("text", "borne"), [(b"0", 0), (b" 3 ", 3), (b"999999999", 999_999_999)]
    )
    def test_a_whole_number_is_read(self, text, borne):
        assert decode_brittle(text) == borne

    @pytest.mark.parametrize(
        "text", [b"", b"-1", b"1.5", b"many", b"9" * 10, b"1e3", b"inf"]
    )
    def test_anything_else_is_invalid(self, text):
        with pytest.raises(ValueError):
            decode_brittle(text)
