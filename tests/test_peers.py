"""Links between hosts: requests wait for a link, notifications do not."""

import asyncio
import time
from datetime import timedelta

import pytest

from passtally.messages import ConfigChanges, FetchConfig, HostNews
from passtally.peers import PeerError, Peers
from passtally.settings import Address, PeerAddress
from standins.ports import free_ports

KEY = b"a key of both hosts"


def make_peers(name: str, port: int, **others: int) -> Peers:
    return Peers(
        host_id=name,
        listen=Address(host="127.0.0.1", port=port),
        peers_by_id={
            other: PeerAddress(
                host_id=other,
                failure_domain="pilar",
                address=Address(host="127.0.0.1", port=other_port),
            )
            for other, other_port in others.items()
        },
        keys=[KEY],
    )


async def answer(message: FetchConfig) -> ConfigChanges:
    return ConfigChanges(listing=b"[]")


class TestLinks:
    def test_a_request_waits_for_a_link_that_is_connecting(self):
        async def main() -> None:
            port_a, port_b = free_ports(2)
            first, second = make_peers("a", port_a, b=port_b), make_peers("b", port_b)
            first.start()
            asking = asyncio.create_task(
                first.ask("b", FetchConfig(after=0), timeout=timedelta(seconds=5))
            )
            await asyncio.sleep(0.2)
            second.on(FetchConfig, answer)
            second.start()
            await second.bind()
            assert await asking == ConfigChanges(listing=b"[]")
            await first.stop()
            await second.stop()

        asyncio.run(main())

    def test_a_request_to_an_unreachable_peer_times_out(self):
        async def main() -> None:
            port_a, port_b = free_ports(2)
            first = make_peers("a", port_a, b=port_b)
            first.start()
            started_at = time.monotonic()
            with pytest.raises(PeerError):
                await first.ask(
                    "b", FetchConfig(after=0), timeout=timedelta(seconds=0.2)
                )
            assert time.monotonic() - started_at < 2
            await first.stop()

        asyncio.run(main())

    def test_a_notification_to_an_unreachable_peer_is_dropped(self):
        async def main() -> None:
            port_a, port_b = free_ports(2)
            first, second = make_peers("a", port_a, b=port_b), make_peers("b", port_b)
            received = []
            first.start()
            notification = HostNews(host_id="a", loads_by_endpoint={}, lost=["old"])
            await first.send_message(["b"], notification)
            second.listen(HostNews, received.append)
            second.on(FetchConfig, answer)
            second.start()
            await second.bind()
            await first.ask("b", FetchConfig(after=0), timeout=timedelta(seconds=5))
            await asyncio.sleep(0.1)
            assert received == []
            await first.stop()
            await second.stop()

        asyncio.run(main())
