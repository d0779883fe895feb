"""The hosts' knowledge of where answers began, and the rule where they may go on."""

import asyncio
import socket
from collections.abc import Sequence
from datetime import timedelta

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from passtally.clock import SystemClock
from passtally.datagrams import Datagrams
from passtally.host_ring import HostRing
from passtally.message_signing import MessageSigner
from passtally.messages import MemberRow, OriginRow, TellOrigins
from passtally.objects import Endpoint, EndpointStart
from passtally.origin import Origin, OriginRule
from passtally.origin_exchange import CHECK_INTERVAL
from passtally.origin_keepers import KEEPERS, OriginKeepers
from passtally.origin_lookup import ANSWER_WAITS, FIRST_CHANGES_TIMEOUT, SETTLE_TIME
from passtally.origin_table import MAX_RECORDS, RECORD_TTL, OriginTable, origin_key
from passtally.prefix_finder import MAX_QUERIED
from passtally.seen_versions import SeenVersions
from passtally.settings import Address
from standins.ports import free_ports
from standins.virtual import run_virtually
from tests.fakes import make_catalog
from tests.origin_fleet import VERSIONS, OriginFleet

NOW = timedelta(0)
SIZES = [(7, 3), (30, 3), (330, 6)]
STREAMS = 200


def endpoint(name: str, software: str = "", **fields) -> Endpoint:
    return Endpoint(
        id=name,
        service="s",
        url=f"http://{name}:1",
        failure_domain="d",
        software=software,
        **fields,
    )


def member(number: int, domain: str = "d0", **fields) -> MemberRow:
    return MemberRow(
        host_id=f"h{number}",
        failure_domain=domain,
        counter=1,
        config_version=0,
        leaving=False,
        address=f"10.0.0.{number}:7",
        **fields,
    )


class TestOriginRule:
    def allows(self, origin: Origin, target: Endpoint, *others: Endpoint) -> bool:
        catalog = make_catalog([], [target, *others])
        return OriginRule(catalog=catalog).allows(origin, target)

    def test_an_answer_goes_on_at_its_version_only(self):
        origin = Origin.of(endpoint("a", "v1"))
        assert self.allows(origin, endpoint("b", "v1"))
        assert not self.allows(origin, endpoint("b", "v2"))

    # Guards against an endpoint without a version that counts as the same.
    def test_an_endpoint_without_a_version_is_not_the_same(self):
        known, unknown = endpoint("a", "v1"), endpoint("b")
        assert not self.allows(Origin.of(known), unknown, known)
        assert not self.allows(Origin.of(unknown), known, unknown)
        assert not self.allows(Origin.of(unknown), endpoint("c"), unknown, known)

    def test_the_same_start_is_the_same_without_a_version(self):
        unknown = endpoint("b", incarnation=2)
        restarted = attrs.evolve(unknown, incarnation=3)
        other = endpoint("a", "v1")
        assert self.allows(Origin.of(unknown), unknown, other)
        assert not self.allows(Origin.of(unknown), restarted, other)

    def test_versions_may_not_be_in_use_at_all(self):
        assert self.allows(Origin.of(endpoint("a")), endpoint("b"), endpoint("a"))

    # Guards against a version that is read from an entry which has changed since.
    def test_the_version_is_that_of_the_time_when_the_answer_began(self):
        origin = Origin.of(endpoint("a", "v1", incarnation=1))
        restarted = endpoint("a", "v2", incarnation=2)
        assert not self.allows(origin, restarted)
        assert self.allows(origin, endpoint("b", "v1"), restarted)

    def test_an_entry_that_arrives_later_tells_the_version(self):
        origin = Origin(software="", start=EndpointStart(endpoint_id="a"))
        entry = endpoint("a", "v1", incarnation=5)
        assert self.allows(origin, endpoint("b", "v1"), entry)
        assert not self.allows(origin, endpoint("b", "v2"), entry)


class TestOriginTable:
    def test_a_record_expires_unless_it_is_renewed(self):
        table, origin = OriginTable(), Origin(software="v1")
        table.put(b"k", origin, now=NOW)
        table.put(b"k", origin, now=RECORD_TTL)
        assert table.find(b"k", now=2 * RECORD_TTL).origin == origin
        assert table.find(b"k", now=2 * RECORD_TTL + timedelta(seconds=1)) is None

    def test_different_versions_for_one_id_are_relied_on_no_more(self):
        table = OriginTable()
        for software in ("v1", "v2", "v1"):
            table.put(b"k", Origin(software=software), now=NOW)
        assert table.find(b"k", now=NOW).origin is None

    def test_the_version_completes_a_record_of_the_endpoint(self):
        table = OriginTable()
        at_endpoint = Origin(software="", start=EndpointStart(endpoint_id="e"))
        for origin in (at_endpoint, Origin(software="v1"), at_endpoint):
            table.put(b"k", origin, now=NOW)
        assert table.find(b"k", now=NOW).origin == Origin(software="v1")

    # Guards against records without a bound in memory.
    def test_the_number_of_records_is_bounded(self):
        table, origin = OriginTable(), Origin(software="v1")
        for number in range(MAX_RECORDS + 10):
            table.put(number.to_bytes(8), origin, now=NOW)
        assert len(table) == MAX_RECORDS
        table.put(b"late", origin, now=2 * RECORD_TTL)
        assert len(table) == 1

    def test_ids_of_other_workspaces_and_services_are_others(self):
        keys = {
            origin_key("a", "s", "1"),
            origin_key("b", "s", "1"),
            origin_key("a", "t", "1"),
        }
        assert len(keys) == 3


class TestSeenVersions:
    # Guards against innocent streams that are refused after an address was reused.
    def test_an_endpoint_known_by_its_address_only_is_no_second_version(self):
        seen = SeenVersions()
        pending = endpoint("b", has_entry=False)
        seen.record([endpoint("a", "v1"), pending], now=NOW)
        assert seen.list_versions("s") == {"v1"}


class TestHostRing:
    @given(key=st.binary(min_size=8, max_size=8), lost=st.integers(0, 19))
    def test_the_loss_of_a_host_moves_the_others_up(self, key, lost):
        rows = [member(number) for number in range(20)]
        ids = [row.host_id for row in HostRing(rows).list_hosts(key, 4)]
        remaining = [row for row in rows if row.host_id != f"h{lost}"]
        after = [row.host_id for row in HostRing(remaining).list_hosts(key, 3)]
        assert after == [name for name in ids if name != f"h{lost}"][:3]

    def test_it_has_no_more_hosts_than_there_are(self):
        assert HostRing([]).list_hosts(b"k", 3) == []
        assert len(HostRing([member(1)]).list_hosts(b"k", 3)) == 1


@attrs.define
class Members:
    own: MemberRow
    rows: list[MemberRow]
    revision: int = 1

    def others(self) -> list[MemberRow]:
        return self.rows


class TestOriginKeepers:
    @pytest.mark.parametrize("local", [0, 1, 2, 5])
    @pytest.mark.parametrize("domains", [1, 2, 4])
    def test_records_stay_near_and_outlive_the_domain(self, local, domains):
        rows = [member(number) for number in range(local)]
        rows += [
            member(10 + 2 * number + twin, f"d{number}")
            for number in range(1, domains)
            for twin in (0, 1)
        ]
        keepers = OriginKeepers(members=Members(own=member(99), rows=rows))
        chosen = keepers.list_keepers(b"key")
        remote = [row for row in chosen if row.failure_domain != "d0"]
        assert len(chosen) == min(KEEPERS, local + domains - 1)
        assert len(remote) == min(domains - 1, KEEPERS - min(local, 2))

    @given(key=st.binary(min_size=8, max_size=8))
    def test_every_host_asks_all_keepers_that_it_knows(self, key):
        rows = [member(number, f"d{number % 3}") for number in range(20)]
        for begun in rows[:3]:
            others = [row for row in rows if row is not begun]
            told = OriginKeepers(members=Members(own=begun, rows=others))
            keepers = {row.host_id for row in told.list_keepers(key)}
            for taker in rows[3:6]:
                others = [row for row in rows if row is not taker]
                asking = OriginKeepers(members=Members(own=taker, rows=others))
                asked = {row.host_id for row in asking.list_asked(key)}
                assert keepers - {taker.host_id} <= asked


class TestManyHosts:
    # Guards against a cost of each stream that grows with the number of hosts.
    def test_a_stream_costs_the_same_among_all_numbers_of_hosts(self):
        costs = []

        async def test(hosts: int, domains: int) -> None:
            fleet = OriginFleet(hosts=hosts, domains=domains)
            fleet.start(fleet.gossip.rows)
            fleet.gossip.know_all()
            ids = list(fleet.exchanges_by_id)
            for number in range(STREAMS):
                fleet.begin(fleet.rng.choice(ids), f"q{number}")
            await asyncio.sleep(1)
            sent = fleet.network.datagrams_by_id.values()
            records = sum(len(item.table) for item in fleet.exchanges_by_id.values())
            costs.append(
                (
                    sum(item.messages_sent for item in sent) / STREAMS,
                    sum(item.bytes_sent for item in sent) / STREAMS,
                    records / STREAMS,
                )
            )

        for hosts, domains in SIZES:
            run_virtually(test(hosts, domains))
        assert len(set(costs)) == 1
        messages, size, records = costs[0]
        assert (messages, records) == (KEEPERS, KEEPERS + 1)
        assert size < 200

    # Guards against records that are lost with the host that began the streams.
    @pytest.mark.parametrize(("hosts", "domains"), SIZES)
    @pytest.mark.parametrize(("killed", "least"), [(0.15, 0.97), (0.34, 0.9)])
    def test_streams_of_killed_hosts_are_known(self, hosts, domains, killed, least):
        async def test() -> None:
            fleet = OriginFleet(hosts=hosts, domains=domains, loss=0.03)
            rows = fleet.gossip.rows
            fleet.start(rows)
            fleet.gossip.know_all()
            dead = fleet.rng.sample(rows, max(1, round(killed * hosts)))
            versions_by_id = {
                f"q{number}": fleet.begin(fleet.rng.choice(dead).host_id, f"q{number}")
                for number in range(STREAMS)
            }
            await asyncio.sleep(0.1)
            fleet.stop(dead)
            alive = list(fleet.exchanges_by_id)
            assert await fleet.count_known(versions_by_id, alive) >= least * STREAMS

        run_virtually(test())

    @pytest.mark.parametrize(("hosts", "domains"), SIZES)
    def test_streams_are_known_while_hosts_restart_in_turn(self, hosts, domains):
        async def test() -> None:
            fleet = OriginFleet(hosts=hosts, domains=domains)
            rows = fleet.gossip.rows
            fleet.start(rows)
            fleet.gossip.know_all()
            versions_by_id = {}
            restarted = fleet.rng.sample(rows, round(0.3 * hosts))
            for number in range(STREAMS):
                name = f"q{number}"
                begun_by = fleet.rng.choice(restarted).host_id
                versions_by_id[name] = fleet.begin(begun_by, name)
            await asyncio.sleep(0.1)
            for row in restarted:
                fleet.stop([row])
                await asyncio.sleep(3 / len(restarted))
                fleet.start([row], life=2)
            await asyncio.sleep(3)
            known = await fleet.count_known(versions_by_id, list(fleet.exchanges_by_id))
            assert known >= 0.9 * STREAMS

        run_virtually(test())

    @pytest.mark.parametrize(("hosts", "domains"), SIZES)
    def test_a_domain_that_is_cut_off_knows_its_streams(self, hosts, domains):
        async def test() -> None:
            fleet = OriginFleet(hosts=hosts, domains=domains)
            fleet.start(fleet.gossip.rows)
            fleet.gossip.know_all()
            inside = [row.host_id for row in fleet.gossip.rows[::domains]]
            versions_by_id = {
                f"q{number}": fleet.begin(fleet.rng.choice(inside), f"q{number}")
                for number in range(STREAMS)
            }
            await asyncio.sleep(0.1)
            fleet.gossip.sides = dict.fromkeys(inside, 1)
            assert await fleet.count_known(versions_by_id, inside) == STREAMS
            fleet.gossip.sides = {}

        run_virtually(test())

    @pytest.mark.parametrize(("hosts", "domains"), SIZES)
    @pytest.mark.parametrize("after", [0, 0.3, 3])
    def test_a_young_host_finds_out_about_streams(self, hosts, domains, after):
        async def test() -> None:
            fleet = OriginFleet(hosts=hosts, domains=domains)
            *rows, young = fleet.gossip.rows
            fleet.start(rows)
            fleet.gossip.know_all()
            begun_by = [row.host_id for row in rows]
            versions_by_id = {
                f"q{number}": fleet.begin(fleet.rng.choice(begun_by), f"q{number}")
                for number in range(STREAMS)
            }
            fleet.start([young])
            await asyncio.sleep(after)
            known = await fleet.count_known(versions_by_id, [young.host_id])
            assert known >= 0.9 * STREAMS

        run_virtually(test())


class TestUnknownOrigins:
    def find(self, *, versions=("v1", "v2"), is_cut=False, is_current=True):
        """Ask for a stream that no host knows; return the version and the time.

        The host has run for a while.
        """

        async def test() -> tuple[str | None, float]:
            fleet = OriginFleet(hosts=7, versions=versions)
            fleet.start(fleet.gossip.rows)
            fleet.gossip.know_all()
            await asyncio.sleep(SETTLE_TIME.total_seconds())
            fleet.is_current = is_current
            if is_cut:
                fleet.gossip.sides = {fleet.gossip.rows[0].host_id: 1}
            asked_at = asyncio.get_running_loop().time()
            version = await fleet.find(fleet.gossip.rows[0].host_id, "nobody's")
            return version, asyncio.get_running_loop().time() - asked_at

        return run_virtually(test())

    # Guards against a guess, and against a caller that is held for an answer.
    def test_a_stream_of_two_versions_is_refused_at_once(self):
        version, took = self.find()
        assert version is None
        assert took < 0.05

    # Guards against innocent streams that are refused while one version serves.
    def test_a_stream_goes_on_while_one_version_serves(self):
        assert self.find(versions=("v1", "v1"))[0] == "v1"
        assert self.find(versions=("", ""))[0] == ""
        assert self.find(versions=("v1", "v1"), is_current=False)[0] == "v1"

    def test_a_version_and_none_are_two(self):
        assert self.find(versions=("v1", ""))[0] is None

    # Guards against a host that is cut off and takes what it knows for all there is.
    def test_a_host_that_is_cut_off_does_not_rely_on_the_version_it_knows(self):
        version, took = self.find(versions=("v1", "v1"), is_cut=True, is_current=False)
        assert version is None
        waits = sum(ANSWER_WAITS, timedelta(0)).total_seconds()
        assert took == pytest.approx(waits, abs=0.01)

    # Guards against hosts of a domain that confirm to each other what all of them know.
    def test_a_domain_that_is_cut_off_does_not_rely_on_the_version_it_knows(self):
        async def test() -> None:
            fleet = OriginFleet(hosts=30, versions=("v1", "v1"))
            fleet.is_current = False
            fleet.start(fleet.gossip.rows)
            fleet.gossip.know_all()
            inside = [row.host_id for row in fleet.gossip.rows[::3]]
            await asyncio.sleep(SETTLE_TIME.total_seconds())
            assert await fleet.find(inside[0], "q0") == "v1"
            fleet.gossip.sides = dict.fromkeys(inside, 1)
            assert await fleet.find(inside[0], "q1") is None
            await asyncio.sleep(60)
            assert await fleet.find(inside[0], "q2") is None

        run_virtually(test())

    # Guards against innocent streams that are refused by all hosts after all were lost.
    def test_hosts_that_all_have_just_started_go_on_with_the_only_version(self):
        async def test() -> None:
            fleet = OriginFleet(hosts=7, versions=("v1", "v1"))
            fleet.is_current = False
            endpoints = list(fleet.catalog.endpoints_by_id.values())
            for endpoint in endpoints:
                fleet.catalog.drop_endpoint(endpoint.id)
            fleet.start(fleet.gossip.rows)
            for endpoint in endpoints:
                asyncio.get_running_loop().call_later(
                    0.05, fleet.catalog.put_endpoint, endpoint
                )
            ids = list(fleet.exchanges_by_id)
            found = await asyncio.gather(*(fleet.find(name, "q") for name in ids))
            assert set(found) == {"v1"}
            assert asyncio.get_running_loop().time() < SETTLE_TIME.total_seconds()

        run_virtually(test())

    # Guards against innocent streams that are refused by a host since the first changes
    # reach it late, as on a machine without a free processor.
    def test_a_host_that_receives_changes_late_goes_on_with_the_only_version(self):
        async def test() -> None:
            fleet = OriginFleet(hosts=7, versions=("v1", "v1"))
            fleet.is_current = False
            name = fleet.gossip.rows[0].host_id
            fleet.gossip.sides = {name: 1}
            fleet.start(fleet.gossip.rows)
            fleet.gossip.know_all()
            first_changes_at = (SETTLE_TIME + FIRST_CHANGES_TIMEOUT) / 2
            asyncio.get_running_loop().call_later(
                first_changes_at.total_seconds(), setattr, fleet, "is_current", True
            )
            assert await fleet.find(name, "q0") == "v1"

        run_virtually(test())

    def test_a_host_without_others_relies_on_what_it_receives(self):
        version, _ = self.find(versions=("v1", "v1"), is_cut=True)
        assert version == "v1"


class TestHolders:
    """The endpoint that runs an answer, for a host at which its caller takes it up.

    Guards against prompts that are prefilled again, and against queries to all
    endpoints of a service, although a host knows which endpoint has the prompt.
    """

    def test_another_host_finds_the_endpoint_of_a_killed_host(self):
        async def test() -> None:
            fleet = OriginFleet(hosts=30)
            rows = fleet.gossip.rows
            fleet.start(rows)
            fleet.gossip.know_all()
            version = fleet.begin(rows[0].host_id, "q")
            await asyncio.sleep(0.1)
            fleet.stop(rows[:1])
            for row in rows[1:]:
                known = await fleet.find_answer(row.host_id, "q")
                assert known.holder_id == f"e{VERSIONS.index(version)}"

        run_virtually(test())

    def test_the_endpoint_of_a_later_attempt_is_told_within_a_second(self):
        async def test() -> None:
            fleet = OriginFleet(hosts=7)
            rows = fleet.gossip.rows
            fleet.start(rows)
            fleet.gossip.know_all()
            exchange = fleet.exchanges_by_id[rows[0].host_id]
            renewing = asyncio.create_task(exchange.run())
            generation = fleet.make_generation("q", "v1")
            with exchange.running(generation, first_id="q") as answer:
                attempt = generation.start_attempt("e0")
                exchange.tell(answer)
                generation.lose_attempt(attempt)
                generation.start_attempt("e7")
                await asyncio.sleep(CHECK_INTERVAL.total_seconds() + 0.1)
                known = await fleet.find_answer(rows[1].host_id, "q")
                assert known.holder_id == "e7"
            renewing.cancel()

        run_virtually(test())

    # Guards against an endpoint that is not found since the caller does not name its
    # first try.
    def test_the_endpoint_is_found_by_the_prompt_in_a_large_service(self):
        assert self.find_by_prompt(versions=("v1",) * (MAX_QUERIED + 1)) == "e0"

    # Guards against records for services whose endpoints are all asked for a prompt.
    def test_nothing_is_told_for_the_prompt_in_a_small_service(self):
        assert self.find_by_prompt(versions=("v1",) * MAX_QUERIED) == ""

    # Guards against a stream that goes on at the version of another with its prompt.
    def test_the_prompt_does_not_tell_the_version(self):
        versions = ("v1", "v2") * MAX_QUERIED
        assert self.find_by_prompt(versions=versions) is None

    def find_by_prompt(self, *, versions: Sequence[str]) -> str | None:
        """Return the endpoint that a host finds for a stream of a killed host."""

        async def test() -> str | None:
            fleet = OriginFleet(hosts=30, versions=versions)
            rows = fleet.gossip.rows
            fleet.start(rows)
            fleet.gossip.know_all()
            await asyncio.sleep(SETTLE_TIME.total_seconds())
            fleet.begin(rows[0].host_id, "q", version="v1")
            await asyncio.sleep(0.1)
            fleet.stop(rows[:1])
            known = await fleet.find_answer(rows[1].host_id, "", prompt="p")
            return None if known is None else known.holder_id

        return run_virtually(test())

    def test_a_record_without_the_endpoint_takes_none_away(self):
        table, origin = OriginTable(), Origin(software="v1")
        table.put(b"k", origin, now=NOW, holder_id="e1")
        table.put(b"k", origin, now=NOW)
        assert table.find(b"k", now=NOW).holder_id == "e1"


class TestDatagrams:
    MESSAGE = TellOrigins(rows=[OriginRow(key=b"12345678", software="v1")])

    def exchange(self, *, keys: tuple[bytes, bytes], data: bytes | None = None):
        """Send a message from one host to another; return what arrived."""

        async def test() -> list[object]:
            received: list[object] = []
            places = [Address(host="127.0.0.1", port=free_ports(1)[0]) for _ in keys]
            ends = [
                Datagrams(signer=MessageSigner(keys=[key]), clock=SystemClock())
                for key in keys
            ]
            ends[1].listen(TellOrigins, lambda message, _: received.append(message))
            tasks = [asyncio.create_task(end.run()) for end in ends]
            for end, place in zip(ends, places, strict=True):
                end.receive_at(place)
            if data is not None:
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                    sender.sendto(data, (places[1].host, places[1].port))
            ends[0].send([places[1]], self.MESSAGE)
            await asyncio.sleep(0.05)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            return received

        return asyncio.run(test())

    def test_a_message_arrives(self):
        assert self.exchange(keys=(b"k", b"k")) == [self.MESSAGE]

    def test_a_message_of_another_system_is_dropped(self):
        assert self.exchange(keys=(b"k", b"other")) == []

    @pytest.mark.parametrize("data", [b"", b"\0", b"\xff" * 40, b"\1" + b"x" * 99])
    def test_nonsense_is_dropped_and_the_next_message_arrives(self, data):
        assert self.exchange(keys=(b"k", b"k"), data=data) == [self.MESSAGE]

    def test_an_address_in_use_is_opened_once_it_is_free(self):
        async def test() -> None:
            place = Address(host="127.0.0.1", port=free_ports(1)[0])
            end = Datagrams(signer=MessageSigner(keys=[b"k"]), clock=SystemClock())
            received = asyncio.Event()
            end.listen(TellOrigins, lambda message, _: received.set())
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as holder:
                holder.bind((place.host, place.port))
                end.receive_at(place)
            task = asyncio.create_task(end.run())
            async with asyncio.timeout(5):
                while not received.is_set():
                    end.send([place], self.MESSAGE)
                    await asyncio.sleep(0.02)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        asyncio.run(test())
