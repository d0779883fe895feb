"""Linked hosts with endpoints of one service, under a steady load."""

import asyncio

import attrs

from standins.platform_config import LOOKUPS, make_config
from tests.platform_system import Answer, PlatformSystem

#: Request rate in requests per second, over all hosts in turn.
RATE = 24
HOSTS = 3


@attrs.frozen(kw_only=True)
class Sent:
    """A request that a caller sent, and its answer.

    Attributes:
        id: The request's id.
        host: The index of the host that received it.
        sent_at: Time of sending, by the event loop's clock in seconds.
        answered_at: Time at which the answer was complete, by the same clock.
        answer: The answer.
    """

    id: str
    host: int
    sent_at: float
    answered_at: float
    answer: Answer

    @property
    def took(self) -> float:
        """The time that the caller waited, in seconds."""
        return self.answered_at - self.sent_at


async def start_linked(system: PlatformSystem, service: str, *, endpoints: int) -> None:
    """Start endpoints and hosts, and wait until all hosts are linked."""
    system.store.put("config", "main", make_config())
    for number in range(endpoints):
        await system.add_runner(f"i-{number}", service, events=2, gap=0.0)
    first = await system.add_host()
    seed = str(first.settings.peer_listen)
    for number in range(2, HOSTS + 1):
        await system.add_host(f"front-{number}", seeds=seed)
    await system.wait_ready()
    for host in system.hosts:
        while len(host.roster.linked()) < HOSTS - 1:
            await asyncio.sleep(0.02)


async def send_load(
    system: PlatformSystem, service: str, *, seconds: float
) -> list[Sent]:
    """Send requests at a steady rate to the hosts in turn, and wait for all answers."""
    time = asyncio.get_running_loop().time

    async def send(number: int) -> Sent:
        await asyncio.sleep(number / RATE)
        host, body, request_id = number % HOSTS, b"%d" % number, f"load-{number}"
        options = {
            "body": body,
            "host": system.hosts[host],
            "X_Request_Id": request_id,
        }
        sent_at = time()
        if service == LOOKUPS:
            answer = await system.send("/look/1", **options)
        else:
            answer = await system.stream("/draft/1", **options)
        return Sent(
            id=request_id,
            host=host,
            sent_at=sent_at,
            answered_at=time(),
            answer=answer,
        )

    return await asyncio.gather(*map(send, range(int(RATE * seconds))))
