"""Streams that are broken off and go on at an answer that is cut in its head."""

import asyncio
import contextlib
from types import SimpleNamespace

import pytest
import uvloop
from aiohttp import web

from passtally.endpoint_connector import EndpointConnector
from passtally.engine import AttemptLostError
from passtally.generation import Generation
from passtally.http_engine import HttpEngine
from passtally.plain_handler import open_session
from standins.platform_config import ENGINE, make_config
from standins.runner import RunnerStandIn
from tests.platform_system import Answer, PlatformSystem, expected_events, run
from tests.test_cut_answers import (
    ANSWER_SECONDS,
    Connect,
    CuttingServer,
    WholeAnswer,
    cut_answer,
    cut_frames,
    open_way,
)
from tests.test_generation import make_generation

EVENTS = 6
#: Number of events that arrive before an answer is broken off.
FIRST_EVENTS = 3
PLAIN_HEAD = b"X-Request-Id: %s\r\nX-Response-Stamp: p\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n" + PLAIN_HEAD
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int) -> bytes:
    return expected_events(number, after=number - 1)


FIRST_CHUNKS = HEAD + CHUNKED + b"".join(map(chunk, map(event, [1, 2, 3])))
#: First runs that are broken off behind three events, and whether inside the fourth.
FIRST_RUNS_BY_NAME = {
    "at an event": FIRST_CHUNKS,
    "in the size of a chunk": FIRST_CHUNKS + b"1",
    "behind the size of a chunk": FIRST_CHUNKS + b"17\r\n",
    "in a chunk": FIRST_CHUNKS + b"17\r\nid: 4\n",
    "in an event": FIRST_CHUNKS + chunk(b"id: 4\ndata: pi"),
    "without a mark": HEAD + b"\r\n" + expected_events(FIRST_EVENTS),
}
#: Answers to the request for the events behind the third one.
SECOND_RUNS_BY_NAME = {
    "nothing": b"",
    "in the status line": b"HTTP/1.1 20",
    "behind the status line": b"HTTP/1.1 200 OK\r\n",
    "in a header": HEAD[:-8],
    "before the blank line": HEAD + b"Content-Length: 0\r\n",
    "behind an interim answer": b"HTTP/1.1 100 Continue\r\n\r\n",
    "in an interim answer": b"HTTP/1.1 103 Early Hints\r\nLink: a",
    "no content": b"HTTP/1.1 204 No Content\r\n" + PLAIN_HEAD + b"\r\n",
    "not modified": b"HTTP/1.1 304 Not Modified\r\n" + PLAIN_HEAD + b"\r\n",
    "length 0": HEAD + b"Content-Length: 0\r\n\r\n",
    "a longer length": HEAD + b"Content-Length: 1234\r\n\r\n" + event(4),
    "chunks without events": HEAD + CHUNKED + b"0\r\n\r\n",
    "the same events": FIRST_CHUNKS + chunk(b""),
    "no proof": HEAD.replace(b"X-Response-Stamp", b"X-Other")
    + b"Content-Length: 0\r\n\r\n",
    "1.0 without events": HEAD.replace(b"1.1", b"1.0") + b"\r\n",
    "1.0 with fewer events": HEAD.replace(b"1.1", b"1.0")
    + b"\r\n"
    + expected_events(2),
    "1.0 with an event": HEAD.replace(b"1.1", b"1.0") + b"\r\n" + event(4),
    "in an event": HEAD + CHUNKED + chunk(event(4) + b"id: 5\nda"),
}
#: Second runs that confirm the end of a first one without a mark.
CONFIRMING = {
    "no content",
    "length 0",
    "chunks without events",
    "the same events",
    "1.0 without events",
}
RUNS = [
    (first, second)
    for first in FIRST_RUNS_BY_NAME
    for second in SECOND_RUNS_BY_NAME
    if first != "without a mark" or second not in CONFIRMING
]


class ScriptedRunner(RunnerStandIn):
    """An endpoint whose streams are prepared bytes, the same for all endpoints.

    Args:
        name: The endpoint's id.
        script: The bytes for the next streams; those after them are whole.
        options: See :class:`RunnerStandIn`.
    """

    def __init__(self, name: str, *, script: list[bytes], **options: object) -> None:
        super().__init__(name, **options)
        self._script = script

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        if not self._script:
            return await super()._stream(request)
        sent = self._script.pop(0)
        self.ran.append(request.headers["X-Request-Id"])
        request_id = request.headers["X-Request-Id"].encode()
        request.transport.write(sent.replace(b"%s", request_id))
        request.transport.close()
        return web.Response()


def stream(*script: bytes) -> tuple[Answer, int]:
    """Return the answer to a stream at endpoints with a script, and its runs."""
    answers, left = [], list(script)

    async def test(system: PlatformSystem) -> None:
        system.store.put("config", "main", make_config())
        for name in ("i-1", "i-2", "i-3"):
            runner = ScriptedRunner(name, script=left, events=EVENTS)
            await runner.start()
            system.runners[name] = runner
            system.store.put("servers", name, runner.entry(ENGINE))
        await system.add_host()
        await system.wait_ready()
        answers.append(await system.stream())
        answers.append(sum(len(runner.ran) for runner in system.runners.values()))

    run(test)
    return tuple(answers)


class TestStreams:
    # Guards against a stream that ends as complete, misses an event or has one twice,
    # since the run that it goes on with is cut in its head.
    @pytest.mark.parametrize(("first", "second"), RUNS)
    def test_a_stream_that_goes_on_at_a_cut_answer_is_whole(self, first, second):
        answer, _ = stream(FIRST_RUNS_BY_NAME[first], SECOND_RUNS_BY_NAME[second])
        assert answer.is_whole
        assert answer.body == expected_events(EVENTS)

    # Guards against a complete stream that is broken off, since no run adds to it.
    def test_an_end_that_two_further_runs_confirm_is_complete(self):
        events = b"".join(chunk(event(number)) for number in range(1, EVENTS + 1))
        answer, runs = stream(HEAD + CHUNKED + events)
        assert answer.is_whole
        assert answer.body == expected_events(EVENTS)
        assert runs == 3

    # Guards against an end that several runs agree on although more was seen.
    @pytest.mark.parametrize("second", sorted(CONFIRMING))
    def test_a_stream_that_was_cut_inside_an_event_does_not_end_before_it(self, second):
        first = FIRST_RUNS_BY_NAME["in an event"]
        answer, _ = stream(first, *[SECOND_RUNS_BY_NAME[second]] * 9)
        assert answer.body == expected_events(FIRST_EVENTS)
        assert not answer.is_whole


def engine_event(position: int, text: str, reason: str = "null") -> bytes:
    """Return an event of a model engine at the own interface."""
    choice = b'{"position":%d,"token_ids":[1],"text_offset":%d,"text":"%s"'
    choice %= position, position, text.encode()
    return b'data: {"choices":[%s,"finish_reason":%s}]}\n\n' % (choice, reason.encode())


LAST_ENGINE_EVENT = engine_event(1, "b", '"stop"')
ENGINE_ANSWERS_BY_NAME = {
    "chunks": WholeAnswer(
        b"HTTP/1.1 200 OK\r\n" + CHUNKED,
        chunk(engine_event(0, "a")) + chunk(LAST_ENGINE_EVENT) + chunk(b""),
    ),
    "unmarked": WholeAnswer(
        b"HTTP/1.1 200 OK\r\n\r\n", engine_event(0, "a") + LAST_ENGINE_EVENT
    ),
}


async def read_engine(connect: Connect) -> Generation:
    """Run a generation at an engine, until it is complete or lost."""
    generation = make_generation()
    attempt = generation.start_attempt("e")
    dialer = SimpleNamespace(connect=lambda address, name, make: connect(make))
    connector = EndpointConnector(dialer=dialer, find_endpoint_id=lambda address: "e")
    async with open_session(connector) as session:
        engine = HttpEngine(session=session, endpoint_id="e", url="http://127.0.0.1:1")
        try:
            output = await engine.generate(generation.request, attempt, ())
            with contextlib.closing(output):
                while events := await output.read():
                    for item in events:
                        generation.accept(attempt, item)
        except AttemptLostError:
            generation.lose_attempt(attempt)
    return generation


@pytest.mark.parametrize("name", ENGINE_ANSWERS_BY_NAME)
@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("way", ["directly", "through a tunnel", "from another host"])
class TestEngineStreams:
    # Guards against a part of an engine's output that counts as complete.
    def test_no_part_of_one_is_complete(self, way, resets, name):
        answer = ENGINE_ANSWERS_BY_NAME[name]
        cut_all = cut_frames if way == "from another host" else cut_answer

        async def test() -> None:
            server = CuttingServer(resets=resets)
            serving = asyncio.create_task(server.serve())
            async with open_way(way, server) as connect:
                for cut in cut_all(answer, resets=resets):
                    server.parts = cut.sent
                    work = read_engine(connect)
                    generation = await asyncio.wait_for(work, ANSWER_SECONDS)
                    is_complete = generation.finish_reason == "stop"
                    if cut.is_ended or is_complete:
                        assert is_complete == (LAST_ENGINE_EVENT in cut.arrived)
            serving.cancel()

        uvloop.run(test())
