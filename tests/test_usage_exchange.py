"""What hosts know of the use of services by all hosts, in virtual time."""

import asyncio

import pytest

from passtally.admission_request import Claimant
from passtally.usage_collector import MAX_CLAIMANTS
from standins.virtual import run_virtually
from tests.usage_fleet import STANDING, UsageFleet

#: Time within which the totals must be known to all hosts after a change, in seconds.
CONVERGES_WITHIN = 3
#: Number of hosts and of failure domains: a small fleet, a grown one, and the target.
SIZES = [(7, 3), (80, 3), (330, 6)]
HELD = 10_000


def start_fleet(hosts: int, domains: int, *, loss: float = 0.0) -> UsageFleet:
    fleet = UsageFleet(hosts=hosts, domains=domains, loss=loss)
    fleet.start(fleet.gossip.rows)
    fleet.gossip.know_all()
    for row in fleet.gossip.rows:
        fleet.held_by_host[row.host_id] = {"w": HELD}
    return fleet


@pytest.mark.parametrize(("hosts", "domains"), SIZES)
class TestManyHosts:
    def test_all_know_the_use_of_all_soon(self, hosts, domains):
        async def test() -> None:
            fleet = start_fleet(hosts, domains)
            await asyncio.sleep(CONVERGES_WITHIN)
            assert fleet.is_known_to_all(hosts * HELD)
            # One host gets all requests of a workspace.
            fleet.held_by_host["front-0001"]["only-here"] = 500_000
            await asyncio.sleep(CONVERGES_WITHIN)
            claimant = Claimant(standing=STANDING, workspace="only-here")
            for host_id in fleet.tables_by_host:
                assert fleet.known(host_id).of_claimant(claimant).held == 500_000

        run_virtually(test())

    def test_losses_of_datagrams_leave_the_totals_nearly_right(self, hosts, domains):
        async def test() -> None:
            fleet = start_fleet(hosts, domains, loss=0.03)
            await asyncio.sleep(CONVERGES_WITHIN)
            for _ in range(5):
                await asyncio.sleep(1)
                assert fleet.is_known_to_all(hosts * HELD, tolerance=0.1)

        run_virtually(test())

    # Guards against messages that grow with the number of hosts.
    def test_a_host_sends_a_bounded_number_of_bytes(self, hosts, domains):
        async def test() -> None:
            fleet = start_fleet(hosts, domains)
            for row in fleet.gossip.rows:
                held = {f"w{number}": 100.0 for number in range(40)}
                fleet.held_by_host[row.host_id] = held
            await asyncio.sleep(CONVERGES_WITHIN)
            datagrams = fleet.network.datagrams_by_id.values()
            before = {item: item.bytes_sent for item in datagrams}
            await asyncio.sleep(10)
            sent = sorted((item.bytes_sent - before[item]) / 10 for item in datagrams)
            # All but the hosts that add up: one report of one service per interval.
            assert sent[hosts - 2 * domains - 1] < 6_000
            # Those send the totals to the hosts of their failure domain.
            assert sent[-1] < 250_000

        run_virtually(test())


class TestFailures:
    HOSTS, DOMAINS = 80, 3

    def collector(self, fleet: UsageFleet) -> str:
        exchange = next(iter(fleet.exchanges_by_host.values()))
        return exchange._choice.of_own_domain()[0].host_id

    # Guards against totals that are lost with the host that adds up.
    def test_the_second_collector_takes_over_at_the_loss_of_the_first(self):
        async def test() -> None:
            fleet = start_fleet(self.HOSTS, self.DOMAINS)
            await asyncio.sleep(CONVERGES_WITHIN)
            dead = self.collector(fleet)
            fleet.stop([row for row in fleet.gossip.rows if row.host_id == dead])
            await asyncio.sleep(CONVERGES_WITHIN)
            assert fleet.is_known_to_all((self.HOSTS - 1) * HELD)

        run_virtually(test())

    # Guards against the use of dead hosts that blocks the room of the others.
    def test_dead_hosts_no_longer_count(self):
        async def test() -> None:
            fleet = start_fleet(self.HOSTS, self.DOMAINS)
            await asyncio.sleep(CONVERGES_WITHIN)
            dead = fleet.gossip.rows[::4]
            fleet.stop(dead)
            await asyncio.sleep(CONVERGES_WITHIN)
            assert fleet.is_known_to_all((self.HOSTS - len(dead)) * HELD)

        run_virtually(test())

    # Guards against a domain that counts hosts which it does not reach.
    def test_a_domain_that_is_cut_off_counts_itself_and_all_again_after_the_cut(self):
        async def test() -> None:
            fleet = start_fleet(self.HOSTS, self.DOMAINS)
            await asyncio.sleep(CONVERGES_WITHIN)
            cut = [row for row in fleet.gossip.rows if row.failure_domain == "d0"]
            for row in cut:
                fleet.gossip.sides[row.host_id] = 1
            # The collector's own part expires first, then its totals at the others.
            await asyncio.sleep(CONVERGES_WITHIN)
            for row in cut:
                assert fleet.known_held(row.host_id) == len(cut) * HELD
            fleet.gossip.sides.clear()
            await asyncio.sleep(CONVERGES_WITHIN)
            assert fleet.is_known_to_all(self.HOSTS * HELD)

        run_virtually(test())

    # Guards against a host that goes on with totals of the time before its pause.
    def test_a_host_without_new_totals_counts_its_own_use(self):
        async def test() -> None:
            fleet = start_fleet(self.HOSTS, self.DOMAINS)
            await asyncio.sleep(CONVERGES_WITHIN)
            late = next(
                row.host_id
                for row in fleet.gossip.rows
                if row.host_id != self.collector(fleet)
            )
            fleet.gossip.paused.add(late)
            await asyncio.sleep(CONVERGES_WITHIN)
            assert fleet.known_held(late) == HELD

        run_virtually(test())

    def test_a_host_that_starts_knows_the_totals_soon(self):
        async def test() -> None:
            fleet = start_fleet(self.HOSTS, self.DOMAINS)
            young = fleet.gossip.rows[5]
            fleet.stop([young])
            await asyncio.sleep(CONVERGES_WITHIN)
            fleet.start([young], life=2)
            await asyncio.sleep(CONVERGES_WITHIN)
            assert fleet.known_held(young.host_id) == self.HOSTS * HELD

        run_virtually(test())


class TestBoundedState:
    # Guards against state that grows with the number of workspaces.
    def test_only_the_largest_workspaces_are_told(self):
        async def test() -> None:
            fleet = start_fleet(30, 3)
            for number, row in enumerate(fleet.gossip.rows):
                fleet.held_by_host[row.host_id] = {
                    f"w-{number}-{other}": 10.0 for other in range(400)
                } | {"large": 1_000.0}
            await asyncio.sleep(CONVERGES_WITHIN)
            large = Claimant(standing=STANDING, workspace="large")
            for host_id in fleet.tables_by_host:
                known = fleet.known(host_id)
                assert len(known.by_claimant) <= MAX_CLAIMANTS
                assert known.of_claimant(large).held == 30 * 1_000
                assert known.of_standing(STANDING).held == 30 * 5_000

        run_virtually(test())
