"""Invalid requests get a JSON error with the right code, and are not run."""

import http.client
import json
import threading
from collections.abc import Iterator
from urllib.parse import urlsplit

import pytest

from standins.processes import Processes
from tests.conftest import System


@pytest.fixture(scope="module")
def small(tmp_path_factory) -> Iterator[System]:
    """A host with low limits and one engine."""
    with Processes(tmp_path_factory.mktemp("small")) as processes:
        processes.start_platform()
        engine = processes.start_engine("runner-pilar")
        processes.add_model("drafting", [(engine, "pilar")])
        token = processes.add_workspace("couriers")
        processes.start_hosts({"entry-a": "pilar"}, max_body=10_000, max_streams=2)
        processes.wait_ready()
        yield System(processes, token)


def post(system: System, path: str, body: bytes, **headers) -> tuple[int, dict]:
    names = {"Authorization": f"Bearer {system.token}"}
    names |= {name.replace("_", "-"): value for name, value in headers.items()}
    address = urlsplit(system.url("entry-a")).netloc
    connection = http.client.HTTPConnection(address, timeout=20)
    connection.request("POST", path, body, names)
    response = connection.getresponse()
    answer = json.loads(response.read())
    connection.close()
    return response.status, answer


GOOD = {"model": "drafting", "messages": [{"role": "user", "content": "hi"}]}
CHAT = "/v1/chat/completions"


def chat(**changes) -> bytes:
    return json.dumps(GOOD | changes).encode()


class TestBadInput:
    @pytest.mark.parametrize(
        ("path", "body", "status", "code"),
        [
            (CHAT, b"{", 400, "bad_json"),
            (CHAT, b"\xff\xfe", 400, "bad_json"),
            (CHAT, b"[]", 400, "bad_request"),
            (CHAT, b"{}", 400, "bad_request"),
            (CHAT, chat(messages=[]), 400, "bad_request"),
            (CHAT, chat(messages="x"), 400, "bad_request"),
            (CHAT, chat(max_tokens=0), 400, "bad_request"),
            (CHAT, chat(max_tokens=-4), 400, "bad_request"),
            (CHAT, chat(temperature=9), 400, "bad_request"),
            (CHAT, chat(model="nope"), 404, "unknown_model"),
            (CHAT, b'{"model": "' + b"x" * 20_000 + b'"}', 413, "body_too_large"),
            ("/v1/completions", chat(), 400, "bad_request"),
            ("/v1/nope", chat(), 404, "unknown_path"),
            ("/services/nope/x", b"", 404, "unknown_service"),
            ("/services/drafting/x", b"", 404, "unknown_service"),
        ],
    )
    def test_each_invalid_request_has_its_code(self, small, path, body, status, code):
        got, answer = post(small, path, body)
        assert (got, answer["error"]["code"]) == (status, code)
        assert answer["error"]["outcome"] == "not_run"
        assert answer["error"]["message"]

    @pytest.mark.parametrize(
        ("headers", "status", "code"),
        [
            ({"Authorization": "Bearer nope"}, 401, "unauthenticated"),
            ({"Authorization": "Basic x"}, 401, "unauthenticated"),
            ({"Last_Event_ID": "k1.forged"}, 400, "bad_resume_handle"),
            ({"X_Request_Class": "royal"}, 400, "bad_request"),
            ({"X_Timeout": "soon"}, 400, "bad_request"),
        ],
    )
    def test_each_invalid_header_has_its_code(self, small, headers, status, code):
        got, answer = post(small, CHAT, chat(), **headers)
        assert (got, answer["error"]["code"]) == (status, code)
        assert answer["error"]["outcome"] == "not_run"

    def test_valid_requests_still_work_afterwards(self, small):
        status, answer = post(small, CHAT, chat())
        assert status == 200
        assert answer["choices"][0]["message"]["content"] == "User: Hi"
        status, answer = post(
            small, "/v1/completions", b'{"model": "drafting", "prompt": "a  b"}'
        )
        assert answer["choices"][0]["text"] == "A B"

    def test_requests_above_the_stream_limit_are_refused(self, small):
        long = "word " * 400
        results = []
        threads = [
            threading.Thread(
                target=lambda: results.append(small.chat("entry-a", prompt=long))
            )
            for _ in range(4)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        refused = [answer for answer in results if answer.error]
        assert refused
        assert all(answer.error["code"] == "overloaded" for answer in refused)
        assert all(answer.error["outcome"] == "not_run" for answer in refused)
        assert any(answer.finish_reason for answer in results)
