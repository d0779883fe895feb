"""Calls to plain services: at-most-once execution, outcomes, and aiohttp's retries.

A call that may have run must not run again, whether it is retried by its caller, by a
host or by the HTTP client library, and its outcome must not be reported as `not_run`.
"""

import asyncio
import contextlib
import signal
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from types import SimpleNamespace

import aiohttp
import msgspec
import pytest
from aiohttp import web

from passtally.engine import AttemptLostError
from passtally.objects import Service, ServiceKind
from passtally.outcome import Code, Outcome, RefusedError, refuse
from passtally.plain_handler import SessionSender, open_session
from standins.processes import Processes
from tests.conftest import HOSTS, System
from tests.test_calls import make_call


class Reply:
    """An HTTP answer with its decoded JSON body."""

    def __init__(self, status: int, headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = msgspec.json.decode(body) if body else None

    @property
    def error(self) -> dict:
        return self.body["error"]


def book(
    system: System, host: str, slot: str, *, key: str = "", timeout=20, **headers
) -> Reply:
    names = {"Authorization": f"Bearer {system.token}"}
    if key:
        names["Idempotency-Key"] = key
    names |= {name.replace("_", "-"): value for name, value in headers.items()}
    request = urllib.request.Request(
        f"{system.url(host)}/services/booking/slots/{slot}",
        data=b"{}",
        method="POST",
        headers=names,
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return Reply(response.status, response.headers, response.read())
    except urllib.error.HTTPError as error:
        return Reply(error.code, error.headers, error.read())


@pytest.fixture
def booking(tmp_path) -> Iterator[System]:
    """A platform, three hosts and a booking service that is not repeatable."""
    with Processes(tmp_path) as processes:
        processes.start_platform()
        endpoints = [(processes.start_booking(f"booking-{n}"), "pilar") for n in "12"]
        processes.add_plain("booking", endpoints, repeatable=False)
        token = processes.add_workspace("couriers")
        processes.start_hosts(HOSTS)
        processes.wait_ready()
        yield System(processes, token)


def runs(system: System, slot: str) -> int:
    names = ("booking-1", "booking-2")
    running = [system[name] for name in names if system[name].popen.poll() is None]
    return sum(process.counts().get(slot, 0) for process in running)


class TestAtMostOnce:
    def test_a_retry_at_any_host_does_not_run_again(self, booking: System):
        first = book(booking, "entry-a", "s1", key="k1")
        assert first.status == 200
        replay = book(booking, "entry-a", "s1", key="k1")
        assert (replay.status, replay.body) == (200, first.body)
        assert replay.headers["Idempotency-Replayed"] == "true"
        elsewhere = book(booking, "entry-b", "s1", key="k1")
        assert (elsewhere.status, elsewhere.body) == (200, first.body)
        assert elsewhere.headers["Idempotency-Replayed"] == "true"
        assert runs(booking, "s1") == 1

    def test_with_an_unreachable_holder_the_outcome_is_unknown(self, booking: System):
        assert book(booking, "entry-a", "s0", key="k0").status == 200
        booking["entry-a"].kill()
        reply = book(booking, "entry-b", "s0", key="k0")
        assert reply.status == 409
        assert reply.error["code"] == "key_in_use"
        assert reply.error["outcome"] == "unknown"
        assert reply.error["peer"] == "entry-a"
        assert reply.headers["Retry-After"]
        assert runs(booking, "s0") == 1

    def test_a_lost_answer_is_unknown_and_not_retried(self, booking: System):
        for name in ("booking-1", "booking-2"):
            booking[name].control(lose_answers=1)
        reply = book(booking, "entry-a", "s2", key="k2")
        assert reply.status == 502
        assert reply.error["outcome"] == "unknown"
        assert reply.error["peer"].startswith("booking-")
        assert reply.headers["Retry-After"]
        assert book(booking, "entry-b", "s2", key="k2").status == 409
        assert runs(booking, "s2") == 1

    def test_without_a_key_a_lost_answer_is_not_retried_either(self, booking):
        for name in ("booking-1", "booking-2"):
            booking[name].control(lose_answers=1)
        assert book(booking, "entry-a", "s3").error["outcome"] == "unknown"
        assert runs(booking, "s3") == 1

    def test_in_a_platform_outage_nothing_runs_and_the_key_stays_usable(self, booking):
        booking.processes.platform.control(outage=True)
        reply = book(booking, "entry-a", "s4", key="k4")
        assert reply.status == 503
        assert reply.error["code"] == "claims_unavailable"
        assert reply.error["outcome"] == "not_run"
        assert runs(booking, "s4") == 0
        booking.processes.platform.control()
        deadline = time.monotonic() + 20
        while book(booking, "entry-b", "s4", key="k4").status != 200:
            assert time.monotonic() < deadline
            time.sleep(0.1)
        assert runs(booking, "s4") == 1

    def test_endpoints_that_deduplicate_are_called_in_an_outage(self, booking: System):
        service = Service(
            id="booking", kind=ServiceKind.PLAIN, repeatable=False, deduplicates=True
        )
        booking.processes.put_config("services", "booking", service)
        booking.processes.wait_ready()
        booking.processes.platform.control(outage=True)
        assert book(booking, "entry-a", "s10", key="k10").status == 200
        assert runs(booking, "s10") == 1

    def test_a_lost_answer_to_a_claim_write_does_not_fail_the_call(
        self, booking: System
    ):
        booking.processes.platform.control(lose_answers=1)
        assert book(booking, "entry-a", "s5", key="k5").status == 200
        assert runs(booking, "s5") == 1

    # Guards against an answer that may be cut short and looks complete to its caller.
    def test_an_answer_without_a_length_is_forwarded_without_one(self, booking: System):
        for name in ("booking-1", "booking-2"):
            booking[name].control(unframed=True)
        replies = [
            book(booking, host, "s5", key="k5") for host in ("entry-a", "entry-b")
        ]
        for reply in replies:
            assert reply.status == 200
            assert reply.body == {"slot": "s5", "runs": 1}
            assert reply.headers["Content-Length"] is None
            assert reply.headers["Transfer-Encoding"] is None

    def test_without_reachable_endpoints_the_call_is_not_run(self, booking: System):
        booking["booking-1"].kill()
        booking["booking-2"].kill()
        reply = book(booking, "entry-a", "s6", key="k6")
        assert reply.error["outcome"] == "not_run"
        assert reply.error["step"] in ("connect", "route")

    def test_a_host_paused_after_its_claim_does_not_send(self, booking: System):
        # The platform is slow, so that the claim takes about a second. The host is
        # stopped during the claim and continues after the send window has passed.
        booking.processes.platform.control(latency=1.0)
        loop = asyncio.new_event_loop()
        work = loop.run_in_executor(
            None, lambda: book(booking, "entry-a", "s7", key="k7", timeout=60)
        )
        time.sleep(0.3)
        booking["entry-a"].signal(signal.SIGSTOP)
        time.sleep(5.5)
        booking["entry-a"].signal(signal.SIGCONT)
        reply = loop.run_until_complete(work)
        loop.close()
        assert reply.error["outcome"] == "not_run"
        assert reply.error["code"] in ("claim_lapsed", "claims_unavailable")
        assert runs(booking, "s7") == 0

    def test_another_request_under_the_same_key_is_refused(self, booking: System):
        book(booking, "entry-a", "s8", key="k8")
        reply = book(booking, "entry-b", "other", key="k8")
        assert (reply.status, reply.error["code"]) == (422, "key_reused")
        assert reply.error["outcome"] == "not_run"

    def test_a_caller_may_forbid_retries_but_not_allow_them(self, booking: System):
        reply = book(booking, "entry-a", "s9", X_Repeatable="maybe")
        assert reply.error["code"] == "bad_request"
        for name in ("booking-1", "booking-2"):
            booking[name].control(lose_answers=1)
        book(booking, "entry-a", "s9", X_Repeatable="yes")
        assert runs(booking, "s9") == 1


class TestInvalidStatus:
    # Guards against callers who get the invalid status of an endpoint in trouble, and
    # its body, as an answer.
    @pytest.mark.parametrize("status", [b"000", b"199", b"600", b"999"])
    def test_it_is_not_forwarded(self, status):
        async def answer(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 %b Odd\r\nContent-Length: 2\r\n\r\nok" % status)
            writer.close()

        async def test() -> None:
            server = await asyncio.start_server(answer, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            session = open_session()
            endpoint = SimpleNamespace(id="a1", url=f"http://127.0.0.1:{port}")
            answers = SimpleNamespace(open=lambda **_: contextlib.nullcontext())
            sender = SessionSender(session=session, answers=answers)
            try:
                with pytest.raises(AttemptLostError):
                    await sender.send(make_call(), SimpleNamespace(endpoint=endpoint))
            finally:
                await session.close()
                server.close()

        asyncio.run(test())


class TestClientLibrary:
    """aiohttp must neither retry a call by itself nor send it after a refusal."""

    @pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
    def test_a_call_is_not_retried_on_a_broken_connection(self, method):
        hits = asyncio.run(self._count_hits(method, _abort_connection))
        assert hits == 1

    def test_before_send_can_refuse_a_call_before_its_first_byte(self):
        hits = asyncio.run(
            self._count_hits("POST", _abort_connection, before_send=_refuse)
        )
        assert hits == 0

    def test_aiohttp_retries_by_default(self):
        hits = asyncio.run(
            self._count_hits(
                "GET", _abort_connection, open_client=aiohttp.ClientSession
            )
        )
        assert hits == 2

    async def _count_hits(
        self, method, handler, before_send=None, open_client=open_session
    ) -> int:
        hits = []

        async def count(request: web.Request) -> web.Response:
            hits.append(request.method)
            return await handler(request)

        app = web.Application()
        app.router.add_route("*", "/", count)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = runner.addresses[0][1]
        session = open_client()
        with pytest.raises((aiohttp.ClientError, RefusedError)):
            await session.request(
                method, f"http://127.0.0.1:{port}/", trace_request_ctx=before_send
            )
        await session.close()
        await runner.cleanup()
        return len(hits)


async def _abort_connection(request: web.Request) -> web.Response:
    request.transport.abort()
    return web.Response()


def _refuse() -> None:
    raise refuse(
        Code.CLAIM_LAPSED,
        "slept",
        status=503,
        step="send",
        outcome=Outcome.NOT_RUN,
    )
