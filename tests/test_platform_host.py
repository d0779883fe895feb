"""A host on the platform, end to end with stand-ins for store and endpoints."""

import asyncio
import contextlib
from datetime import timedelta

import attrs
import pytest

from passtally.admission_request import AdmissionRequest
from passtally.forecast import DEFAULT_DURATION
from passtally.front_host import FrontHost
from passtally.priority import Priority
from standins.platform_config import ENGINE, KEY, LOOKUPS, WORKSPACE, make_config
from standins.runner import PROOF
from tests.platform_system import PlatformSystem, expected_events, run

#: Headers that only the system may set: a caller's value could make an endpoint reserve
#: memory, copy state or reject requests.
SET_BY_THE_SYSTEM = (
    "x-hold",
    "X-HOLD",
    "X-Pin-Ms",
    "X-Kv-Backup",
    "Kv-From",
    "Kv-Fetch",
    "X-Expect-Version",
    "X-Expect-Instance",
    "X-Request-Priority",
    "X-Tenant-Id",
)

#: Time in which an answer must be complete, in seconds.
ANSWER_TIMEOUT = 10


@contextlib.asynccontextmanager
async def kept_connection(host: FrontHost):
    """Connect to a host, and close the connection at the end."""
    address = host.settings.listen
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        yield reader, writer
    finally:
        writer.close()


def stream_request(request_id: str) -> bytes:
    """Return a request for a stream that allows another one on its connection."""
    lines = [
        "POST /draft/1 HTTP/1.1",
        "Host: shop.example",
        f"X-Request-Id: {request_id}",
        f"X-Key: {KEY}",
        "X-Model: m",
        "X-Token-Usage: 500,100",
        f"X-Prefix-Hash: 5c1e07a2:200,{request_id.encode().hex()}:300",
        "X-Deadline-Ms: 10000",
        "Content-Length: 0",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def start_lookups(system: PlatformSystem, count: int = 1) -> None:
    """Start a host and endpoints for lookups."""
    system.store.put("config", "main", make_config())
    for number in range(count):
        await system.add_runner(f"i-look{number}", LOOKUPS)
    await system.add_host()
    await system.wait_ready()


async def start_engines(system: PlatformSystem, **fields) -> None:
    """Start a host and three engines in two failure domains."""
    system.store.put("config", "main", make_config())
    for name, zone in (("i-a", "pilar"), ("i-b", "tigre"), ("i-c", "tigre")):
        await system.add_runner(name, zone=zone, **fields)
    await system.add_host()
    await system.wait_ready()


def record_first_outputs(system: PlatformSystem, *, took: timedelta) -> None:
    """Record first outputs of streams, in the forecast of the first host."""
    host = system.hosts[0]
    for _ in range(8):
        host.placement.forecast.record_first(
            ENGINE, 500, took, priority=Priority(), now=host.clock.monotonic()
        )


def busy(system: PlatformSystem):
    """Return the engine that runs a stream."""
    return next(runner for runner in system.runners.values() if runner.ran)


class TestCalls:
    def test_a_call_and_its_answer_are_forwarded_unchanged(self):
        async def test(system: PlatformSystem) -> None:
            await start_lookups(system)
            answer = await system.send(
                "/look/a%2Fb/../c?x=%20",
                body=b"\x00\xff",
                X_Odd="a, b",
                X_Tenant_Id="z",
            )
            runner = system.runners["i-look0"]
            request = runner.requests[0]
            assert answer.status == 200
            assert answer.is_whole
            assert answer.body == b"i-look0 /look/a%2Fb/../c?x=%20"
            assert answer.headers["x-response-stamp"] == PROOF
            assert runner.bodies == [b"\x00\xff"]
            assert request.headers["X-Odd"] == "a, b"
            assert request.headers["X-Tenant-Id"] == WORKSPACE
            assert request.headers["X-Request-Id"] == "q1"
            assert "X-Key" not in request.headers
            assert request.headers["X-Expect-Instance"] == "i-look0"

        run(test)

    @pytest.mark.parametrize("name", SET_BY_THE_SYSTEM)
    @pytest.mark.parametrize("send", [PlatformSystem.send, PlatformSystem.stream])
    def test_headers_of_the_system_are_not_forwarded_from_callers(self, send, name):
        async def test(system: PlatformSystem) -> None:
            await start_engines(system)
            await system.add_runner("i-look", LOOKUPS)
            await system.wait_ready()
            path = "/look/1" if send is PlatformSystem.send else "/draft/1"
            answer = await send(system, path, **{name: "callers-own"})
            assert answer.status == 200
            for runner in system.runners.values():
                for request in runner.requests:
                    assert request.headers.get(name.upper()) != "callers-own"

        run(test)

    def test_the_remaining_time_is_forwarded(self):
        async def test(system: PlatformSystem) -> None:
            await start_lookups(system)
            await system.send("/look/1", X_Deadline_Ms="1500")
            left = system.runners["i-look0"].requests[0].headers["X-Deadline-Ms"]
            assert 1000 <= int(left) <= 1500

        run(test)

    def test_a_call_that_an_endpoint_rejects_fails_over(self):
        async def test(system: PlatformSystem) -> None:
            await start_lookups(system, count=2)
            for runner in system.runners.values():
                runner.faults.refusals = 1
            first = await system.send("/book/1")
            assert first.status == 503
            assert float(first.headers["retry-after"]) > 0
            assert "x-response-stamp" not in first.headers
            answer = await system.send("/look/2")
            assert answer.status == 200

        run(test)

    @pytest.mark.parametrize(
        ("path", "runs", "status"), [("/book/1", 1, 502), ("/look/1", 2, 200)]
    )
    def test_a_call_with_a_lost_answer_is_retried_only_if_allowed(
        self, path, runs, status
    ):
        async def test(system: PlatformSystem) -> None:
            await start_lookups(system, count=2)
            for runner in system.runners.values():
                runner.faults.lose_answers = 1
            if status == 200:
                system.runners["i-look1"].faults.lose_answers = 0
            answer = await system.send(path)
            ran = sum(len(runner.ran) for runner in system.runners.values())
            if status == 200:
                assert answer.status == 200
                assert 1 <= ran <= runs
            else:
                assert answer.status == status
                assert ran == 1

        run(test)

    @pytest.mark.parametrize(
        "fault",
        [{"no_proof": True}, {"other_id": True}, {"encoding": "gzip"}],
    )
    def test_an_answer_that_is_not_the_endpoints_is_not_forwarded(self, fault):
        async def test(system: PlatformSystem) -> None:
            await start_lookups(system)
            for name, value in fault.items():
                setattr(system.runners["i-look0"].faults, name, value)
            answer = await system.send("/book/1")
            assert answer.status == 502
            assert "x-response-stamp" not in answer.headers

        run(test)

    def test_an_error_of_the_endpoint_is_forwarded(self):
        async def test(system: PlatformSystem) -> None:
            await start_lookups(system)
            system.runners["i-look0"].faults.own_status = 500
            answer = await system.send("/look/1")
            assert answer.status == 500
            assert answer.headers["x-response-stamp"] == PROOF

        run(test)

    # Guards against callers who get the invalid status of an endpoint in trouble, and
    # its body, as an answer.
    @pytest.mark.parametrize("status", [0, 600, 999])
    @pytest.mark.parametrize("path", ["/book/1", "/look/1"])
    def test_an_invalid_status_is_not_forwarded(self, path, status):
        async def test(system: PlatformSystem) -> None:
            await start_lookups(system)
            faults = system.runners["i-look0"].faults
            faults.own_status, faults.unframed = f"{status:03}", True
            answer = await system.send(path)
            assert answer.status == 502
            assert "x-response-stamp" not in answer.headers
            assert path.encode() not in answer.body

        run(test)

    def test_bytes_after_an_answer_are_not_the_next_answer(self):
        async def test(system: PlatformSystem) -> None:
            await start_lookups(system)
            extra = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"
            system.runners["i-look0"].faults.extra = extra
            first = await system.send("/look/1")
            second = await system.send("/look/2")
            assert first.body.endswith(b"/look/1")
            assert second.body.endswith(b"/look/2")

        run(test)

    def test_an_answer_without_a_length_is_forwarded_without_one(self):
        async def test(system: PlatformSystem) -> None:
            await start_lookups(system)
            system.runners["i-look0"].faults.unframed = True
            answer = await system.send("/look/1")
            assert answer.body == b"i-look0 /look/1"
            assert "content-length" not in answer.headers
            assert "transfer-encoding" not in answer.headers

        run(test)

    def test_an_endpoint_at_a_reused_address_gets_one_request_only(self):
        async def test(system: PlatformSystem) -> None:
            await start_lookups(system)
            system.runners["i-look0"].name = "i-other"
            for _ in range(3):
                answer = await system.send("/look/1")
                assert answer.status == 503
            assert len(system.runners["i-look0"].requests) == 1

        run(test)

    def test_a_call_ends_at_its_routes_timeout(self):
        async def test(system: PlatformSystem) -> None:
            await start_lookups(system)
            routes = make_config(version=2)
            for route in routes["routes"]:
                route["timeout_ms"] = 200
            system.store.put("config", "main", routes)
            while system.hosts[0].routes.current.version != 2:
                await asyncio.sleep(0.01)
            system.runners["i-look0"].faults.answer_delay = 5
            answer = await asyncio.wait_for(system.send("/book/1"), 1)
            assert answer.status == 504

        run(test)


class TestRoutes:
    def test_unknown_routes_and_keys_are_rejected(self):
        async def test(system: PlatformSystem) -> None:
            await start_lookups(system)
            assert (await system.send("/none/1")).status == 404
            assert (await system.send("/look/1", Host="other.example")).status == 404
            assert (await system.send("/look/1", key="bad")).status == 401
            assert (await system.send("/look/1", key=None)).status == 401

        run(test)

    def test_a_host_that_is_behind_rejects_with_a_retry_after(self):
        async def test(system: PlatformSystem) -> None:
            await start_lookups(system)
            system.hosts[0].watch.is_behind = lambda prefix: True
            for answer in (
                await system.send("/none/1"),
                await system.send("/look/1", key="bad"),
            ):
                assert answer.status == 503
                assert float(answer.headers["retry-after"]) > 0
            assert (await system.send("/look/1")).status == 200

        run(test)

    def test_a_host_without_configuration_answers_503(self):
        async def test(system: PlatformSystem) -> None:
            host = await system.add_host()
            answer = await system.send("/look/1")
            assert answer.status == 503
            assert not host.is_ready

        run(test)

    def test_requests_wait_for_the_first_listing_during_a_start(self):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config())
            await system.add_runner("i-look", LOOKUPS)
            system.store.refusal = 503
            await system.add_host()
            waiting = asyncio.create_task(system.send("/look/1"))
            await asyncio.sleep(0.2)
            assert not waiting.done()
            system.store.refusal = None
            assert (await waiting).status == 200

        run(test)

    def test_a_revoked_key_is_rejected_on_an_open_connection(self):
        async def test(system: PlatformSystem) -> None:
            await start_lookups(system)
            address = system.hosts[0].settings.listen
            reader, writer = await asyncio.open_connection(address.host, address.port)
            request = (
                "GET /look/1 HTTP/1.1\r\nHost: shop.example\r\n"
                f"X-Request-Id: a\r\nX-Key: {KEY}\r\n\r\n"
            ).encode()
            writer.write(request)
            assert b" 200 " in await reader.readline()
            tenants = [{"name": WORKSPACE, "api_keys": ["new"]}]
            system.store.put("config", "main", make_config(5, tenants=tenants))
            while system.hosts[0].routes.current.version != 5:
                await asyncio.sleep(0.01)
            await reader.readuntil(b"/look/1")
            writer.write(request)
            assert b" 401 " in await reader.readline()
            writer.close()

        run(test)

    def test_a_version_never_goes_back(self):
        async def test(system: PlatformSystem) -> None:
            await start_lookups(system)
            system.store.put("config", "main", make_config(9))
            while system.hosts[0].routes.current.version != 9:
                await asyncio.sleep(0.01)
            system.store.put("config", "main", make_config(3))
            await asyncio.sleep(0.2)
            assert system.hosts[0].routes.current.version == 9

        run(test)

    def test_the_metrics_show_the_active_version_at_once(self):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config(3))
            host = await system.add_host()
            await system.wait_ready()
            assert b"config_version 3" in host.render_metrics()
            system.store.put("config", "main", make_config(8))
            while host.routes.current.version != 8:
                await asyncio.sleep(0.01)
            assert b"config_version 8" in host.render_metrics()

        run(test)

    def test_a_broken_configuration_changes_nothing(self):
        async def test(system: PlatformSystem) -> None:
            await start_lookups(system)
            system.store.put("config", "main", {"version": 7})
            await asyncio.sleep(0.2)
            assert (await system.send("/look/1")).status == 200

        run(test)


class TestStreams:
    def test_a_stream_is_forwarded_event_by_event(self):
        async def test(system: PlatformSystem) -> None:
            await start_engines(system)
            answer = await system.stream()
            assert answer.status == 200
            assert answer.is_whole
            assert answer.body == expected_events(20)
            assert answer.headers["x-response-stamp"] == PROOF

        run(test)

    # Guards against an engine that does not know which of its requests are urgent, and
    # against a routine answer that is resumed before urgent ones.
    @pytest.mark.parametrize(
        ("route_rank", "workspace_rank", "position", "sent"),
        [
            (0, None, 0, "1"),
            (2, None, 0, "8"),
            (2, 0, 0, "2"),
            (0, 1, 0, "4"),
            (2, None, 8, "6"),
            (9, None, 0, "9"),
        ],
    )
    def test_the_priority_is_sent_to_the_engine(
        self, route_rank, workspace_rank, position, sent
    ):
        async def test(system: PlatformSystem) -> None:
            config = make_config()
            config["routes"][0]["priority"] = route_rank
            config["tenants"][0]["priority"] = workspace_rank
            system.store.put("config", "main", config)
            await system.add_runner("i-a")
            await system.add_host()
            await system.wait_ready()
            headers = {"Last_Event_Id": str(position)} if position else {}
            answer = await system.stream(**headers)
            assert answer.is_whole
            (request,) = busy(system).requests
            assert request.headers["X-Request-Priority"] == sent

        run(test)

    # Guards against a host that refuses all streams after some slow first outputs, and
    # so never sees a faster one.
    def test_an_idle_endpoint_gets_streams_whatever_earlier_ones_took(self):
        async def test(system: PlatformSystem) -> None:
            await start_engines(system)
            record_first_outputs(system, took=timedelta(seconds=5))
            answers = [await system.stream() for _ in range(3)]
            assert [answer.status for answer in answers] == [200] * 3

        run(test)

    # Guards against a refusal for a late first output while another endpoint is idle:
    # one in another failure domain costs as much as a short queue in this one.
    def test_a_stream_goes_to_an_idle_endpoint_if_the_cheapest_is_too_late(self):
        async def test(system: PlatformSystem) -> None:
            await start_engines(system)
            for runner in system.runners.values():
                runner.faults.first_delay = 0.2
            # The hash of the prompt decides between endpoints of equal cost.
            for _ in range(16):
                record_first_outputs(system, took=timedelta(seconds=0.2))
                ran = sum(len(runner.ran) for runner in system.runners.values())
                first = asyncio.create_task(system.stream())
                while sum(len(r.ran) for r in system.runners.values()) == ran:
                    await asyncio.sleep(0.005)
                answers = [await system.stream(), await first]
                assert [answer.status for answer in answers] == [200] * 2

        run(test)

    @pytest.mark.parametrize("inside", [False, True])
    def test_a_lost_stream_is_resumed_from_its_replica(self, inside):
        async def test(system: PlatformSystem) -> None:
            await start_engines(system)
            for runner in system.runners.values():
                runner.faults.break_after = 8
                runner.faults.break_inside = inside
            answer = await system.stream()
            assert answer.is_whole
            assert answer.body == expected_events(20)
            assert sum(runner.prompts_read for runner in system.runners.values()) == 1
            attached = [r for r in system.runners.values() if r.attached]
            assert len(attached) == 1
            assert attached[0] is not busy(system) or not attached[0].prompts_read

        async def broken_once(system: PlatformSystem) -> None:
            await start_engines(system)
            task = asyncio.create_task(system.stream())
            while not any(runner.ran for runner in system.runners.values()):
                await asyncio.sleep(0.005)
            first = busy(system)
            first.faults.break_after = 8
            first.faults.break_inside = inside
            answer = await task
            assert answer.is_whole
            assert answer.body == expected_events(20)
            assert sum(runner.prompts_read for runner in system.runners.values()) == 1
            assert sum(len(r.attached) for r in system.runners.values()) == 1

        run(broken_once)

    def test_a_silent_stream_is_resumed_from_its_replica(self):
        async def test(system: PlatformSystem) -> None:
            await start_engines(system)
            task = asyncio.create_task(system.stream())
            while not any(runner.ran for runner in system.runners.values()):
                await asyncio.sleep(0.005)
            busy(system).faults.hang_after = 8
            answer = await task
            assert answer.is_whole
            assert answer.body == expected_events(20)
            assert sum(len(r.attached) for r in system.runners.values()) == 1

        run(test)

    def test_the_first_connection_is_closed_before_the_run_resumes(self):
        async def test(system: PlatformSystem) -> None:
            await start_engines(system)
            task = asyncio.create_task(system.stream())
            while not any(runner.ran for runner in system.runners.values()):
                await asyncio.sleep(0.005)
            first = busy(system)
            first.faults.hang_after = 8
            await task
            assert first.closed_early == 1

        run(test)

    def test_a_run_whose_replica_is_lost_gets_another_replica(self):
        async def test(system: PlatformSystem) -> None:
            await start_engines(system, events=60, gap=0.02)
            # A host starts to watch 1.2 s after its own start, since it first waits for
            # heartbeats of another watcher. The run lasts as long, so without this wait
            # it would end about when the loss of its replica is received.
            while not system.hosts[0].watch.is_up:
                await asyncio.sleep(0.01)
            task = asyncio.create_task(system.stream())
            while not any(runner.replicas for runner in system.runners.values()):
                await asyncio.sleep(0.005)
            keeper = next(r for r in system.runners.values() if r.replicas)
            first = busy(system)
            system.store.remove("servers", keeper.name)
            await keeper.stop()
            while not first.copies:
                await asyncio.sleep(0.01)
            first.faults.break_after = 50
            answer = await task
            assert answer.is_whole
            assert answer.body == expected_events(60)
            assert sum(runner.prompts_read for runner in system.runners.values()) == 1

        run(test)

    def test_without_a_replica_prefill_is_repeated(self):
        async def test(system: PlatformSystem) -> None:
            await start_engines(system)
            task = asyncio.create_task(system.stream())
            while not any(runner.ran for runner in system.runners.values()):
                await asyncio.sleep(0.005)
            first = busy(system)
            first.faults.break_after = 8
            for runner in system.runners.values():
                runner.replicas = {}
                runner.faults.refusals = 0
            while True:
                for runner in system.runners.values():
                    runner.replicas.clear()
                if task.done():
                    break
                await asyncio.sleep(0)
            answer = await task
            assert answer.body == expected_events(20)

        run(test)

    def test_a_caller_resumes_after_its_last_event(self):
        async def test(system: PlatformSystem) -> None:
            await start_engines(system)
            answer = await system.stream(Last_Event_Id="12")
            assert answer.body == expected_events(20, after=12)
            assert busy(system).requests[0].headers["Last-Event-Id"] == "12"

        run(test)

    def test_another_host_resumes_at_the_engine_that_caches_the_prompt(self):
        async def test(system: PlatformSystem) -> None:
            await start_engines(system)
            prompt = {"X_Prefix_Hash": "5c1e07a2:200,beef01:300"}
            await system.stream(**prompt)
            first = busy(system)
            second = await system.add_host("front-2")
            await system.wait_ready()
            answer = await system.stream(host=second, Last_Event_Id="12", **prompt)
            assert answer.body == expected_events(20, after=12)
            assert len(first.ran) == 2

        run(test)

    def test_a_caller_that_disconnects_ends_the_run(self):
        async def test(system: PlatformSystem) -> None:
            await start_engines(system, gap=0.1)
            task = asyncio.create_task(system.stream())
            while not any(runner.ran for runner in system.runners.values()):
                await asyncio.sleep(0.005)
            task.cancel()
            while not busy(system).closed_early:
                await asyncio.sleep(0.01)

        run(test)

    @pytest.mark.parametrize("send", [PlatformSystem.send, PlatformSystem.stream])
    def test_a_caller_that_disconnects_before_its_answer_ends_the_work(self, send):
        async def test(system: PlatformSystem) -> None:
            await start_engines(system)
            await system.add_runner("i-look", LOOKUPS)
            await system.wait_ready()
            for runner in system.runners.values():
                runner.faults.first_delay = runner.faults.answer_delay = 60
            path = "/look/1" if send is PlatformSystem.send else "/draft/1"
            task = asyncio.create_task(send(system, path))
            while not any(runner.requests for runner in system.runners.values()):
                await asyncio.sleep(0.005)
            task.cancel()
            # Without the close the endpoint would work longer than the test may take.
            while not any(runner.closed_early for runner in system.runners.values()):
                await asyncio.sleep(0.005)
            assert system.hosts[0].drain.open_requests == 0

        run(test)

    def test_without_an_endpoint_the_rejection_has_a_retry_after(self):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config())
            await system.add_host()
            await system.wait_ready()
            answer = await system.stream()
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert b"not_run" in answer.body

        run(test)


class TestStore:
    def test_a_watch_that_receives_nothing_is_renewed(self):
        async def test(system: PlatformSystem) -> None:
            await start_lookups(system)
            system.store.is_deaf = True
            system.store.put("config", "main", make_config(4))
            await asyncio.sleep(0.3)
            system.store.forget_history()
            system.store.is_deaf = False
            async with asyncio.timeout(2):
                while system.hosts[0].routes.current.version != 4:
                    await asyncio.sleep(0.01)

        run(test)

    @pytest.mark.parametrize("outage", ["refused", "silent"])
    def test_a_host_keeps_serving_during_an_outage(self, outage):
        async def test(system: PlatformSystem) -> None:
            await start_lookups(system)
            system.store.refusal = 503 if outage == "refused" else None
            system.store.is_silent = outage == "silent"
            await asyncio.sleep(1)
            assert (await system.send("/look/1")).status == 200
            system.store.refusal, system.store.is_silent = None, False
            system.store.put("config", "main", make_config(4))
            async with asyncio.timeout(3):
                while system.hosts[0].routes.current.version != 4:
                    await asyncio.sleep(0.01)

        run(test)

    def test_all_pages_of_a_listing_are_read(self):
        async def test(system: PlatformSystem) -> None:
            system.store.page = 2
            system.store.put("config", "main", make_config())
            for number in range(5):
                await system.add_runner(f"i-{number}", LOOKUPS)
            await system.add_host()
            await system.wait_ready()
            assert len(system.hosts[0].catalog.endpoints_by_id) == 5

        run(test)

    def test_a_draining_endpoint_gets_no_new_requests(self):
        async def test(system: PlatformSystem) -> None:
            await start_lookups(system, count=2)
            leaving = system.runners["i-look0"]
            entry = leaving.entry(LOOKUPS, state="draining")
            system.store.put("servers", "i-look0", entry)
            live = system.hosts[0].fleet.find("i-look0")
            while live.view().state == "active":
                await asyncio.sleep(0.01)
                live = system.hosts[0].fleet.find("i-look0")
            before = len(leaving.requests)
            for number in range(6):
                assert (await system.send(f"/look/{number}")).status == 200
            assert len(leaving.requests) == before

        run(test)


class TestStop:
    def test_a_stopping_host_finishes_open_requests(self):
        async def test(system: PlatformSystem) -> None:
            await start_engines(system, gap=0.02)
            host = system.hosts[0]
            task = asyncio.create_task(system.stream())
            while not any(runner.ran for runner in system.runners.values()):
                await asyncio.sleep(0.005)
            leaving = asyncio.create_task(host.leave())
            await asyncio.sleep(0)
            assert not host.is_ready
            answer = await task
            assert answer.is_whole
            assert answer.body == expected_events(20)
            await leaving

        run(test)

    def test_a_host_that_has_drained_forwards_no_requests(self):
        async def test(system: PlatformSystem) -> None:
            await system.add_runner("i-look", LOOKUPS)
            await start_engines(system)
            host = system.hosts[0]
            host.settings = attrs.evolve(host.settings, balancer_lag=timedelta(0))
            await host.leave()
            # The host's sockets still accept connections at this point.
            for path in ("/draft/1", "/look/1", "/book/1"):
                answer = await system.stream(path)
                assert answer.status == 503, path
                assert float(answer.headers["retry-after"]) < 0.1
            assert not any(runner.ran for runner in system.runners.values())

        run(test)

    def test_late_in_a_stop_streams_are_rejected_with_a_retry_after(self):
        async def test(system: PlatformSystem) -> None:
            await start_engines(system)
            host = system.hosts[0]
            host.drain.ends_at = host.clock.monotonic() + DEFAULT_DURATION / 2
            answer = await system.stream()
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) < 0.1

        run(test)

    # Guards against a request on a connection that no one told to close, since its last
    # answer had begun before the stop, and that the host then cuts.
    @pytest.mark.parametrize("is_pipelined", [False, True])
    def test_a_connection_is_closed_after_an_answer_that_began_before_the_stop(
        self, is_pipelined
    ):
        async def test(system: PlatformSystem) -> None:
            await start_engines(system, gap=0.02)
            host = system.hosts[0]
            async with kept_connection(host) as (reader, writer):
                writer.write(stream_request("q-first"))
                head = await reader.readuntil(b"\r\n\r\n")
                assert b"connection: close" not in head.lower()
                # As it is from the start of a stop on, which would close it later too.
                host.front_server.is_closing = True
                if is_pipelined:
                    writer.write(stream_request("q-second"))
                rest = await asyncio.wait_for(reader.read(), ANSWER_TIMEOUT)
                body, _, second = rest.partition(b"\r\n0\r\n\r\n")
                assert b"data: piece 20\n\n" in body
                # What had been sent before the close is answered.
                assert second.startswith(b"HTTP/1.1 ") == is_pipelined
                assert (b"connection: close" in second.lower()) == is_pipelined

        run(test)

    # Guards against a request that waits for its turn until it can't be finished.
    def test_a_request_that_waited_is_checked_again(self):
        async def test(system: PlatformSystem) -> None:
            await start_engines(system)
            host = system.hosts[0]
            enter = host.gate.enter

            @contextlib.asynccontextmanager
            async def enter_late(service: str, request: AdmissionRequest):
                async with enter(service, request):
                    host.drain.ends_at = host.clock.monotonic() + DEFAULT_DURATION / 2
                    yield

            host.gate.enter = enter_late
            answer = await system.stream()
            assert answer.status == 503
            assert not any(runner.ran for runner in system.runners.values())

        run(test)

    # Guards against a call that a host accepts in the last moments of its grace and
    # aborts when it stops.
    def test_each_call_that_runs_during_a_stop_is_answered(self):
        async def test(system: PlatformSystem) -> None:
            lookups = await system.add_runner("i-look", LOOKUPS)
            lookups.faults.answer_delay = 0.15
            await start_engines(system, gap=1.0)
            host = system.hosts[0]
            streaming = asyncio.create_task(system.stream())
            while not any(runner.ran for runner in system.runners.values()):
                await asyncio.sleep(0.005)

            async def stop() -> None:
                await host.leave()
                await host.stop()

            stopping = asyncio.create_task(stop())
            calls = {}
            while not stopping.done():
                name = f"call-{len(calls)}"
                call = system.send("/book/1", body=b"1", X_Request_Id=name)
                calls[name] = asyncio.create_task(call)
                await asyncio.sleep(0.01)
            system.hosts.clear()
            await asyncio.gather(streaming, *calls.values(), return_exceptions=True)
            assert lookups.ran
            assert all(calls[name].result().status == 200 for name in lookups.ran)

        run(test)

    def test_late_in_a_stop_calls_are_rejected_with_a_retry_after(self):
        async def test(system: PlatformSystem) -> None:
            lookups = await system.add_runner("i-look", LOOKUPS)
            await start_engines(system)
            host = system.hosts[0]
            host.drain.ends_at = host.clock.monotonic() + timedelta(seconds=0.3)
            answer = await system.send("/book/1", body=b"1")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) < 0.1
            assert not lookups.ran

        run(test)

    def test_a_stopping_host_accepts_streams_that_it_can_finish(self):
        async def test(system: PlatformSystem) -> None:
            await start_engines(system)
            host = system.hosts[0]
            host.drain.ends_at = host.clock.monotonic() + 2 * DEFAULT_DURATION
            answer = await system.stream()
            assert answer.body == expected_events(20)

        run(test)


class TestPeers:
    def test_hosts_find_each_other_and_share_loads_and_losses(self):
        async def test(system: PlatformSystem) -> None:
            await start_engines(system, events=60, gap=0.02)
            first = system.hosts[0]
            second = await system.add_host(
                "front-2", seeds=str(first.settings.peer_listen)
            )
            await system.wait_ready()
            while "front-2" not in first.peers.ids:
                await asyncio.sleep(0.02)
            task = asyncio.create_task(system.stream(host=first))
            while not any(
                second.load_table.load(second.fleet.start_of(name)).held
                for name in system.runners
            ):
                await asyncio.sleep(0.01)
            lost = next(r for r in system.runners.values() if not r.ran)
            first.fleet.losses.record(
                first.fleet.find(lost.name), is_endpoint_unreachable=True
            )
            while not second.fleet.find(lost.name).is_ejected:
                await asyncio.sleep(0.01)
            await task

        run(test)
