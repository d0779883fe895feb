"""A host without requests hardly wakes up.

Among hundreds of hosts nearly all are idle most of the time, on half a billed core
each. Every periodic wake-up of an idle host is repeated on all 195 hosts, or 330.
"""

import asyncio
from datetime import timedelta
from types import SimpleNamespace

from passtally.capacity import Capacity
from passtally.fleet import Fleet
from passtally.gate import Gate
from passtally.messages import ConfigChanges, FetchConfig
from passtally.peers import HEARTBEAT_MS
from passtally.settings import Address, PeerAddress
from standins.ports import free_ports
from standins.virtual import VirtualClock, run_virtually
from tests.fakes import make_catalog
from tests.test_admission import make_request
from tests.test_peers import answer, make_peers

SECONDS = 10


class CountingClock(VirtualClock):
    """A clock that counts its sleeps."""

    def __init__(self) -> None:
        self.sleeps = 0

    async def sleep(self, duration: timedelta) -> None:
        self.sleeps += 1
        await super().sleep(duration)


def count_sleeps(make_work) -> float:
    """Return the number of sleeps of a task per second of virtual time."""

    async def main() -> float:
        clock = CountingClock()
        task = asyncio.create_task(make_work(clock))
        await asyncio.sleep(SECONDS)
        task.cancel()
        return clock.sleeps / SECONDS

    return run_virtually(main())


class TestSilence:
    def make_fleet(self, clock) -> Fleet:
        return Fleet(catalog=make_catalog([]), clock=clock, connect=None)

    def test_without_streams_a_host_rarely_checks(self):
        assert count_sleeps(lambda clock: self.make_fleet(clock).watch_silence()) < 5

    def test_with_a_stream_a_host_checks_every_50_ms(self):
        def watch(clock):
            fleet = self.make_fleet(clock)
            live = SimpleNamespace(
                guards={"one"},
                check_silence=lambda now: None,
                reset_silence=lambda now: None,
            )
            fleet._live_by_id["i"] = live
            return fleet.watch_silence()

        assert count_sleeps(watch) > 19


class TestGate:
    def test_the_gate_checks_only_while_requests_wait(self):
        async def main() -> None:
            clock = CountingClock()
            fleet = SimpleNamespace(
                service_capacity=lambda name: Capacity(places=1, taken=1)
            )
            gate = Gate(fleet=fleet, clock=clock)
            running = asyncio.create_task(gate.run())
            await asyncio.sleep(SECONDS)
            assert clock.sleeps == 0

            async def enter() -> None:
                async with gate.enter("s", make_request()):
                    pass

            entering = asyncio.create_task(enter())
            await asyncio.sleep(1)
            assert clock.sleeps > 10
            entering.cancel()
            await asyncio.sleep(1)
            sleeps = clock.sleeps
            await asyncio.sleep(SECONDS)
            assert clock.sleeps == sleeps
            running.cancel()

        run_virtually(main())


class TestLinks:
    def test_only_the_side_that_opened_a_link_sends_heartbeats(self):
        async def main() -> None:
            port_a, port_b, port_between = free_ports(3)
            sent_at: list[float] = []
            loop = asyncio.get_running_loop()

            async def carry(reader, writer, on_data) -> None:
                while data := await reader.read(65536):
                    on_data()
                    writer.write(data)
                writer.close()

            async def relay(reader, writer) -> None:
                far_reader, far_writer = await asyncio.open_connection(
                    "127.0.0.1", port_b
                )
                await asyncio.gather(
                    carry(reader, far_writer, lambda: None),
                    carry(far_reader, writer, lambda: sent_at.append(loop.time())),
                )

            first, second = make_peers("a", port_a), make_peers("b", port_b)
            second.on(FetchConfig, answer)
            first.start()
            second.start()
            await second.bind()
            between = await asyncio.start_server(relay, "127.0.0.1", port_between)
            first.add_peer(
                PeerAddress(
                    host_id="b",
                    failure_domain="pilar",
                    address=Address(host="127.0.0.1", port=port_between),
                )
            )
            asked = await first.ask(
                "b", FetchConfig(after=0), timeout=timedelta(seconds=5)
            )
            assert isinstance(asked, ConfigChanges)
            began, seconds = loop.time(), 3.5 * HEARTBEAT_MS / 1000
            await asyncio.sleep(seconds)
            # One answer for each heartbeat of the other side, and no heartbeats.
            answered_at = [at for at in sent_at if at > began]
            assert 2 <= len(answered_at) <= 4
            await first.stop()
            await second.stop()
            between.close()

        asyncio.run(main())
