"""Fixtures of the process tests, and the handling of tests that are known to fail."""

import asyncio
from collections.abc import Callable, Iterator
from pathlib import Path

import aiohttp
import pytest

from standins.caller import Answer, Caller
from standins.model import answer_to
from standins.processes import Processes

#: Tests that fail because of a known fault, one per line: the id of a test, a class or
#: a parametrized test, then the command, the observed failure and the issue.
KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"

HOSTS = {"entry-a": "pilar", "entry-b": "tigre", "entry-c": "escobar"}
PROMPT = "\n".join(f"av. rivadavia {n},  pilar - ñandú {n * 7}" for n in range(60))
EXPECTED = answer_to(f"user: {PROMPT}")


def read_known_red() -> dict[str, str]:
    """Return the description of each test that is known to fail, by the test's id.

    An id may contain spaces; the command after it begins with a backtick.
    """
    if not KNOWN_RED.exists():
        return {}
    entries = (line.partition(" `") for line in KNOWN_RED.read_text().splitlines())
    return {test: f"`{details}" for test, _, details in entries if test}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests that are known to fail, and no others, as expected failures."""
    for test, details in read_known_red().items():
        for item in items:
            if item.nodeid == test or item.nodeid.startswith((f"{test}::", f"{test}[")):
                item.add_marker(pytest.mark.xfail(reason=details, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that are known to fail, in each run."""
    for test, details in read_known_red().items():
        terminalreporter.write_line(f"known to fail: {test} {details}")


class System:
    """A small system of separate processes: hosts, engines and the platform.

    Args:
        processes: The processes.
        token: The token of its workspace.
    """

    def __init__(self, processes: Processes, token: str) -> None:
        self.processes = processes
        self.token = token

    def __getitem__(self, name: str):
        return self.processes.by_name[name]

    @property
    def engines(self) -> list:
        """The engines that have been started."""
        return [p for name, p in self.processes.by_name.items() if "runner" in name]

    def url(self, host: str) -> str:
        """Return the URL of an entry host."""
        return self[host].url

    def busy_engine(self):
        """Return the engine that runs the most streams; frozen ones don't count."""
        running = [engine for engine in self.engines if engine.popen.poll() is None]
        return max(running, key=lambda engine: engine.counts()["open"])

    def chat(
        self,
        *hosts: str,
        prompt: str = PROMPT,
        on_event: Callable[[Answer], None] | None = None,
        model: str = "drafting",
        **fields,
    ) -> Answer:
        """Stream one answer from the hosts named, in turn."""

        async def run() -> Answer:
            async with aiohttp.ClientSession() as session:
                urls = [self.url(host) for host in hosts or HOSTS]
                caller = Caller(session=session, urls=urls, token=self.token)
                return await asyncio.wait_for(
                    caller.chat(model, prompt, on_event=on_event, **fields), 60
                )

        return asyncio.run(run())


@pytest.fixture
def system(tmp_path: Path) -> Iterator[System]:
    """Start a platform, three engines and three hosts in three failure domains."""
    with Processes(tmp_path) as processes:
        processes.start_platform()
        engines = [
            (processes.start_engine(f"runner-{domain}", step=0.004), domain)
            for domain in HOSTS.values()
        ]
        processes.add_model("drafting", engines)
        token = processes.add_workspace("couriers")
        processes.start_hosts(HOSTS)
        processes.wait_ready()
        yield System(processes, token)


class At:
    """Calls an action once, when an answer has a given number of events.

    Args:
        events: The number of events.
        action: The action.
    """

    def __init__(self, events: int, action: Callable[[], None]) -> None:
        self.done = False
        self._events = events
        self._action = action

    def __call__(self, answer: Answer) -> None:
        """Check the number of events; called after each one."""
        if not self.done and answer.events >= self._events:
            self.done = True
            self._action()
