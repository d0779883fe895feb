"""Repeats that are taken for a silent endpoint, and what asking for them leaves."""

import asyncio
from datetime import timedelta

import pytest

from passtally.messages import FetchConfig
from passtally.peers import PeerError, Peers
from passtally.settings import PeerAddress, parse_address
from standins.virtual import run_virtually
from tests.platform_system import free_ports
from tests.test_replicas import WHOLE, World

TIME_LEFT = timedelta(seconds=20)
#: Four hosts that are asked one after the other, 60 ms each.
LENDING_TAKES = 0.2
NO_REPEATS = 0.0


class TestARepeatThatIsNotUsed:
    def test_is_left_for_others_once_the_endpoint_is_heard_again(self):
        async def test() -> None:
            world = World(most=NO_REPEATS)
            asked = asyncio.Event()

            async def lend(service: str, amount: float) -> float:
                asked.set()
                await asyncio.sleep(LENDING_TAKES)
                return amount

            world.budgets._ask_others = lend
            task = world.start(time_left=TIME_LEFT)
            first = await world.running()
            first.hangs = True
            await asked.wait()
            first.hangs = False
            await task
            assert world.sink.data == WHOLE
            assert len(world.engines.opened) == 1
            assert world.budgets.try_resume("w", service="s")

        run_virtually(test())


class TestAskingThatFails:
    def test_a_stream_leaves_its_silent_endpoint_at_the_next_look(self):
        """Whoever was asked was let go of meanwhile: that cancels the asking."""

        async def test() -> None:
            world = World(most=NO_REPEATS)
            looks = 0

            async def lend(service: str, amount: float) -> float:
                nonlocal looks
                looks += 1
                if looks == 1:
                    raise asyncio.CancelledError
                return amount

            world.budgets._ask_others = lend
            task = world.start(time_left=TIME_LEFT)
            first = await world.running()
            first.hangs = True
            async with asyncio.timeout(10):
                await task
            assert world.sink.data == WHOLE

        run_virtually(test())

    def test_an_asker_whose_peer_is_let_go_of_hears_a_peer_error(self):
        async def test() -> None:
            ports = [parse_address(f"127.0.0.1:{port}") for port in free_ports(2)]
            peers = Peers(
                host_id="a", listen=ports[0], peers_by_id={}, keys=[b"k" * 32]
            )
            peers.start()
            # Nobody listens there, so the question waits for the link.
            peers.add_peer(
                PeerAddress(host_id="b", failure_domain="d", address=ports[1])
            )
            asking = asyncio.create_task(peers.ask("b", FetchConfig(after=0)))
            await asyncio.sleep(0.1)
            peers.remove_peer("b")
            with pytest.raises(PeerError):
                await asking
            await peers.stop()

        asyncio.run(test())
