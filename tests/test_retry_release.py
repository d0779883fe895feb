"""Retries that are taken while an endpoint is silent: unused ones, failed requests."""

import asyncio
from datetime import timedelta

import pytest

from passtally.messages import FetchConfig
from passtally.peers import PeerError, Peers
from passtally.settings import PeerAddress, parse_address
from standins.ports import free_ports
from standins.virtual import run_virtually
from tests.replica_world import WHOLE, World

TIME_LEFT = timedelta(seconds=20)
#: Duration of a loan, in seconds: four hosts asked in turn, up to 60 ms each.
LOAN_TIME = 0.2
NO_RETRIES = 0.0


class TestUnusedRetry:
    def test_it_is_released_once_the_endpoint_sends_output_again(self):
        async def test() -> None:
            world = World(most=NO_RETRIES)
            asked = asyncio.Event()

            async def lend(service: str, amount: float) -> float:
                asked.set()
                await asyncio.sleep(LOAN_TIME)
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


class TestFailedLoan:
    def test_a_stream_fails_over_from_its_silent_endpoint_at_the_next_check(self):
        """The asked peer is removed meanwhile, which cancels the request for a loan."""

        async def test() -> None:
            world = World(most=NO_RETRIES)
            attempts = 0

            async def lend(service: str, amount: float) -> float:
                nonlocal attempts
                attempts += 1
                if attempts == 1:
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

    def test_a_request_to_a_peer_that_is_removed_raises_a_peer_error(self):
        async def test() -> None:
            ports = [parse_address(f"127.0.0.1:{port}") for port in free_ports(2)]
            peers = Peers(
                host_id="a", listen=ports[0], peers_by_id={}, keys=[b"k" * 32]
            )
            peers.start()
            # No host listens at this address, so the request waits for the link.
            peers.add_peer(
                PeerAddress(host_id="b", failure_domain="d", address=ports[1])
            )
            request = asyncio.create_task(peers.ask("b", FetchConfig(after=0)))
            await asyncio.sleep(0.1)
            peers.remove_peer("b")
            with pytest.raises(PeerError):
                await request
            await peers.stop()

        asyncio.run(test())
