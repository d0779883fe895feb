"""Requests that end what runs them, and endpoints that name limits."""

import asyncio
import itertools
import random

import aiohttp

from passtally.quarantine import MAX_CRASHES
from soak.evidence import Evidence, now
from soak.series import Fault, FaultSeries
from soak.world import FATAL_PREFIX, Place, SeenRunner, World
from standins.platform_config import KEY

#: How often a caller sends such a request, and the pause between two, in seconds.
SENDS = 8
PAUSE_SECONDS = 0.3
ANSWER_SECONDS = 5.0
#: How long an endpoint that was ended is away, in seconds.
AWAY_SECONDS = 0.7
#: Faults in which all hosts, and what they know, are gone at once.
FORGETTING_KINDS = frozenset(("kill all",))
_numbers = itertools.count(1)


class RequestSaboteur(FaultSeries):
    """Brings requests and endpoints that cost others dearly."""

    shortest_pause = 0.5
    longest_pause = 3.0

    def __init__(self, *, world: World, evidence: Evidence, rng: random.Random) -> None:
        super().__init__(world=world, evidence=evidence, rng=rng)
        world.on_crash = self._record_crash
        self._ended_by_body: dict[bytes, int] = {}
        self.faults_by_name = {
            "fatal request": Fault(weight=2, run=self._send_fatal),
            "named limit": Fault(weight=3, run=self._name_limit),
        }

    async def _send_fatal(self, lasts: float) -> None:
        """Send one request again and again, to any host; count what it ends."""
        began_at = now()
        number = next(_numbers)
        body = FATAL_PREFIX + str(number).encode()
        kind = self._rng.choice(("draft", "look"))
        self._ended_by_body[body] = 0
        for _ in range(SENDS):
            ip, port = self._draw_host().front
            await self._send(f"http://{ip}:{port}/{kind}/{number}", body)
            await asyncio.sleep(PAUSE_SECONDS)
        await asyncio.sleep(AWAY_SECONDS)
        self._note("fatal request", "endpoints", began_at)
        ended = self._ended_by_body.pop(body)
        # Each process of a host may have one try under way when the third endpoint
        # ends; one that has just started has not asked the others yet.
        most = MAX_CRASHES + self._count_lives(since=began_at)
        if ended > most and not self._forgot_since(began_at):
            self._evidence.report(
                f"a request ended {ended} endpoints, of {most} at the most"
            )

    def _count_lives(self, *, since: float) -> int:
        """Return how many processes of hosts ran since a moment."""
        lives = [
            life for host in self._world.hosts_by_name.values() for life in host.lives
        ]
        return sum(life.ended_at is None or life.ended_at > since for life in lives)

    def _forgot_since(self, began_at: float) -> bool:
        return any(
            trouble.kind in FORGETTING_KINDS and trouble.ended_at > began_at
            for trouble in self._evidence.troubles
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
            # Its caller gets nothing, or the host is away: it is sent again anyway.
            return

    def _record_crash(self, place: Place, runner: SeenRunner) -> None:
        for body in self._ended_by_body:
            if body in runner.bodies:
                self._ended_by_body[body] += 1
        task = asyncio.create_task(self._come_back(place, runner))
        self._tasks.add(task)

    async def _come_back(self, place: Place, runner: SeenRunner) -> None:
        await asyncio.sleep(AWAY_SECONDS)
        if place.runner is None:
            await self._world.start_runner(place)
        self._world.store.remove("servers", runner.name)

    async def _name_limit(self, lasts: float) -> None:
        place = self._rng.choice(self._world.places)
        runner, began_at = place.runner, now()
        if runner is None:
            return
        runner.faults.limit = self._rng.choice(("0.8", "2", "12.5", "many"))
        await asyncio.sleep(lasts)
        runner.faults.limit = None
        self._note("named limit", runner.name, began_at)
