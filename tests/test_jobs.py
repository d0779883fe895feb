"""Jobs: submitted at one host, collected at any, and taken over from dead hosts."""

import http.client
import json
import time
from urllib.parse import urlsplit

from click.testing import CliRunner

from passtally.cli import main
from tests.conftest import EXPECTED, PROMPT, System


def call(system: System, host: str, method: str, path: str, body=None, token=""):
    address = urlsplit(system.url(host)).netloc
    connection = http.client.HTTPConnection(address, timeout=20)
    headers = {
        "Authorization": f"Bearer {token or system.token}",
        "Prefer": "respond-async",
    }
    data = None if body is None else json.dumps(body)
    connection.request(method, path, data, headers)
    response = connection.getresponse()
    answer = json.loads(response.read())
    connection.close()
    return response.status, answer


def submit(system: System, host: str) -> str:
    body = {"model": "drafting", "messages": [{"role": "user", "content": PROMPT}]}
    status, answer = call(system, host, "POST", "/v1/chat/completions", body)
    assert status == 202
    return answer["id"]


def collect(system: System, host: str, job: str) -> dict:
    deadline = time.monotonic() + 60
    while time.monotonic() < deadline:
        status, answer = call(system, host, "GET", f"/v1/generations/{job}")
        if status != 202:
            assert status == 200, answer
            return answer
        time.sleep(0.2)
    raise AssertionError("the job did not end")


class TestJobs:
    def test_a_job_is_collected_at_another_host(self, system: System):
        job = submit(system, "entry-a")
        answer = collect(system, "entry-b", job)
        assert answer["id"] == job
        assert answer["choices"][0]["message"]["content"] == EXPECTED

    def test_a_job_of_a_dead_host_is_run_by_the_host_that_is_asked(
        self, system: System
    ):
        job = submit(system, "entry-a")
        system["entry-a"].kill()
        answer = collect(system, "entry-b", job)
        assert answer["choices"][0]["message"]["content"] == EXPECTED

    def test_the_command_line_collects_a_job(self, system: System):
        job = submit(system, "entry-a")
        words = ["generation", "collect", job, "--watch", "--token", system.token]
        result = CliRunner().invoke(main, [*words, "--host", system.url("entry-b")])
        assert result.exit_code == 0
        assert result.output == EXPECTED + "\n"

    def test_another_workspace_cannot_collect_a_job(self, system: System):
        other = system.processes.add_workspace("other")
        system.processes.wait_ready()
        job = submit(system, "entry-a")
        status, answer = call(
            system, "entry-a", "GET", f"/v1/generations/{job}", token=other
        )
        assert (status, answer["error"]["code"]) == (404, "unknown_generation")

    def test_a_job_is_rejected_while_the_platform_is_unreachable(self, system: System):
        system.processes.platform.control(outage=True)
        body = {"model": "drafting", "messages": [{"role": "user", "content": "x"}]}
        status, answer = call(system, "entry-a", "POST", "/v1/chat/completions", body)
        assert (status, answer["error"]["code"]) == (503, "platform_away")
