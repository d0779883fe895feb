"""Requests that crash endpoints, and endpoints that announce request limits."""

import asyncio
import itertools
import random

import aiohttp

from passtally.suspect import MAX_CRASHES
from soak.evidence import Evidence, now
from soak.series import Fault, FaultSeries
from soak.world import FATAL_PREFIX, Place, TracedRunner, World
from standins.platform_config import KEY

#: Number of times that a fatal request is sent, and the pause after each, in seconds.
SEND_COUNT = 8
PAUSE_SECONDS = 0.3
#: Timeout and deadline of a fatal request, in seconds.
ANSWER_SECONDS = 5.0
#: Time until a crashed endpoint is replaced, in seconds.
DOWNTIME_SECONDS = 0.7
#: Kinds of faults that stop all hosts at once, so that their crash counts are lost.
STATE_LOSS_KINDS = frozenset(("kill all",))
_numbers = itertools.count(1)


class RequestFaultInjector(FaultSeries):
    """Sends fatal requests, and lets endpoints announce request limits."""

    min_pause = 0.5
    max_pause = 3.0

    def __init__(self, *, world: World, evidence: Evidence, rng: random.Random) -> None:
        super().__init__(world=world, evidence=evidence, rng=rng)
        world.on_crash = self._record_crash
        self._crashes_by_body: dict[bytes, int] = {}
        self.faults_by_name = {
            "fatal request": Fault(weight=2, run=self._send_fatal),
            "named limit": Fault(weight=3, run=self._announce_limit),
        }

    async def _send_fatal(self, duration: float) -> None:
        """Send a fatal request several times, to random hosts.

        Reports it if it crashed more endpoints than the quarantine may allow.
        """
        began_at = now()
        number = next(_numbers)
        body = FATAL_PREFIX + str(number).encode()
        kind = self._rng.choice(("draft", "look"))
        self._crashes_by_body[body] = 0
        for _ in range(SEND_COUNT):
            ip, port = self._draw_host().front
            await self._send(f"http://{ip}:{port}/{kind}/{number}", body)
            await asyncio.sleep(PAUSE_SECONDS)
        await asyncio.sleep(DOWNTIME_SECONDS)
        self._record_fault("fatal request", "endpoints", began_at)
        crashes = self._crashes_by_body.pop(body)
        # Each process of a host may be running one try when the request reaches the
        # crash limit; a process that has just started has not yet queried the other
        # hosts for quarantined requests.
        max_crashes = MAX_CRASHES + self._count_process_runs(since=began_at)
        if crashes > max_crashes and not self._lost_state_since(began_at):
            self._evidence.report(
                f"a request crashed {crashes} endpoints, at most {max_crashes} allowed"
            )

    def _count_process_runs(self, *, since: float) -> int:
        """Return the number of host processes that ran at or after a time."""
        process_runs = [
            process_run
            for host in self._world.hosts_by_name.values()
            for process_run in host.process_runs
        ]
        return sum(
            process_run.ended_at is None or process_run.ended_at > since
            for process_run in process_runs
        )

    def _lost_state_since(self, began_at: float) -> bool:
        return any(
            fault.kind in STATE_LOSS_KINDS and fault.ended_at > began_at
            for fault in self._evidence.faults
        )

    async def _send(self, url: str, body: bytes) -> None:
        headers = {
            "Host": "shop.example",
            "X-Request-Id": f"q{next(_numbers)}-fatal",
            "X-Key": KEY,
            "X-Deadline-Ms": str(int(ANSWER_SECONDS * 1000)),
        }
        if "/draft/" in url:
            headers |= {
                "X-Model": "m",
                "X-Token-Usage": "500,100",
                "X-Prefix-Hash": "5c1e07a2:200,fa7a1:300",
            }
        timeout = aiohttp.ClientTimeout(total=ANSWER_SECONDS)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, data=body, headers=headers) as response,
            ):
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            # The host does not answer or is unreachable; the next send is due anyway.
            return

    def _record_crash(self, place: Place, runner: TracedRunner) -> None:
        for body in self._crashes_by_body:
            if body in runner.bodies:
                self._crashes_by_body[body] += 1
        task = asyncio.create_task(self._replace_runner(place, runner))
        self._tasks.add(task)

    async def _replace_runner(self, place: Place, runner: TracedRunner) -> None:
        await asyncio.sleep(DOWNTIME_SECONDS)
        if place.runner is None:
            await self._world.start_runner(place)
        self._world.store.remove("servers", runner.name)

    async def _announce_limit(self, duration: float) -> None:
        place = self._rng.choice(self._world.places)
        runner, began_at = place.runner, now()
        if runner is None:
            return
        runner.faults.limit = self._rng.choice(("0.8", "2", "12.5", "many"))
        await asyncio.sleep(duration)
        runner.faults.limit = None
        self._record_fault("named limit", runner.name, began_at)
