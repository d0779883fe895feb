"""The JSON of the completion API, and the parameters of resumed requests."""

import attrs
import msgspec
import pytest

from passtally.completion import AnswerFormat, Flavour, build_request, parse_body
from passtally.completion_handler import build_generation
from passtally.handle import ResumePoint, StreamRef
from passtally.objects import Service, ServiceKind, Workspace, digest_token
from tests.test_generation import event, make_generation

SERVICE = Service(
    id="s", kind=ServiceKind.MODEL, model="m", version="1", adapter="a", max_tokens=50
)
WORKSPACE = Workspace(id="w", token_sha256=digest_token("t"))
RAW = b'{"model": "s", "messages": [{"role": "user", "content": "hi"}]}'


def build_at(service: Service, point: ResumePoint | None):
    body = parse_body(RAW, Flavour.CHAT)
    return build_generation(body, Flavour.CHAT, WORKSPACE, service, point).request


class TestResumedRequest:
    """A resumed answer must not change with its service's configuration."""

    def test_a_resume_keeps_the_parameters_of_a_service_that_has_changed(self):
        first = build_at(SERVICE, None)
        stream = StreamRef.of(first, endpoint_id="r", attempt=1)
        point = ResumePoint(stream=stream, position=3, characters=5)
        changed = attrs.evolve(
            SERVICE, model="m2", version="2", adapter="b", max_tokens=7
        )
        assert build_at(changed, point) == first

    def test_the_limit_seed_and_stop_of_the_caller_are_used(self):
        raw = msgspec.json.encode(
            {"model": "s", "prompt": "p", "max_tokens": 5, "seed": 9, "stop": "x"}
        )
        body = parse_body(raw, Flavour.TEXT)
        request = build_request(
            body, Flavour.TEXT, workspace=WORKSPACE, service=SERVICE
        )
        assert (request.max_tokens, request.seed, request.stop) == (5, 9, ("x",))


class TestAnswerFormat:
    @pytest.mark.parametrize("flavour", list(Flavour))
    def test_events_and_buffered_answers_are_the_usual_json(self, flavour):
        generation = make_generation()
        attempt = generation.start_attempt("r")
        generation.accept(attempt, event(0, "ab", "stop"))
        answer_format = AnswerFormat(flavour=flavour, include_usage=True)
        before, after = answer_format.event_parts(generation.request)
        chunk = msgspec.json.decode((before + b'"x"' + after).strip())
        last = msgspec.json.decode(answer_format.last_event(generation, "b"))
        whole = msgspec.json.decode(answer_format.render_answer(generation, "ab"))
        assert chunk["choices"][0]["finish_reason"] is None
        assert last["choices"][0]["finish_reason"] == "stop"
        assert last["usage"]["completion_tokens"] == 2
        assert {chunk["id"], last["id"], whole["id"]} == {"gen-00000000-1"}
        texts = {
            Flavour.CHAT: lambda row: row["message"]["content"],
            Flavour.TEXT: lambda row: row["text"],
        }
        assert texts[flavour](whole["choices"][0]) == "ab"
