"""Endpoints that name how many requests a second they take from all hosts together."""

import asyncio
from collections import Counter

import pytest

from standins.platform_config import ENGINE, LOOKUPS, make_config
from tests.platform_system import PlatformSystem, run

#: What the users allow in any span of so long, in seconds: so many times the limit, and
#: some more.
SPAN = 4.0
SLACK = 1.5
MORE = 5
#: A host that was told may still send for so long, in seconds.
TOLD_FOR = 0.5


def allowed(limit: float) -> float:
    return SLACK * SPAN * limit + MORE


def most_in_span(times: list[float]) -> int:
    """Return the most of some moments that lie within one span."""
    return max((sum(at <= t < at + SPAN for t in times) for at in times), default=0)


async def load(system: PlatformSystem, service: str, *, seconds: float) -> Counter[int]:
    """Send 24 requests a second to the hosts in turn; return the statuses."""

    async def send(number: int) -> int:
        await asyncio.sleep(number / 24)
        host = system.hosts[number % len(system.hosts)]
        if service == LOOKUPS:
            answer = await system.send("/look/1", body=b"%d" % number, host=host)
        else:
            answer = await system.stream("/draft/1", body=b"%d" % number, host=host)
        return answer.status

    return Counter(await asyncio.gather(*map(send, range(int(24 * seconds)))))


@pytest.mark.parametrize("service", [ENGINE, LOOKUPS], ids=["stream", "call"])
class TestNamedLimit:
    # Guards against hosts that send on to an endpoint that has named its limit.
    def test_it_is_kept_by_all_hosts_and_the_others_serve_the_rest(self, service):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config())
            for number in range(4):
                zone = ("pilar", "tigre")[number % 2]
                runner = await system.add_runner(
                    f"i-{number}", service, zone=zone, events=2, gap=0.0
                )
                if number < 2:
                    runner.faults.limit = "1.3"
            first = await system.add_host()
            seed = str(first.settings.peer_listen)
            for number in (2, 3):
                await system.add_host(f"front-{number}", seeds=seed)
            await system.wait_ready()
            for host in system.hosts:
                while len(host.roster.linked()) < 2:
                    await asyncio.sleep(0.02)
            statuses = await load(system, service, seconds=6)
            assert statuses.keys() == {200}
            for runner in list(system.runners.values())[:2]:
                told_at = runner.requested_at[0] + TOLD_FOR
                times = [at for at in runner.requested_at if at >= told_at]
                assert most_in_span(times) <= allowed(1.3)
                assert times, "it takes some"

        run(test)
