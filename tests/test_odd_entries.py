"""Odd values in what hosts read: nested too deep, too large, out of range.

Guards against an error that a decoder does not name. Such an error ends the task that
follows the store, which then reads the same value again after each restart.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from typing import Any, ClassVar

import eliot
import h11
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passtally.engine import AttemptLostError
from passtally.generation import Attempt, TokenEvent
from passtally.http_client import ResponseHead
from passtally.object_store import (
    Listing,
    PlatformError,
    StoredObject,
    UnavailableError,
)
from passtally.platform.decode import (
    count_waiting_runs,
    decode_cached_parts,
    decode_copy_handle,
    decode_endpoint,
    decode_routes,
    is_engine_report,
)
from passtally.platform.rollout_object import decode_rollout
from passtally.platform.runner_link import RunnerLink
from passtally.platform.runner_stream import RunnerStream
from passtally.platform.store import PlatformStore
from passtally.version_records import VersionRecord
from standins.platform_config import ENGINE, LOOKUPS, make_config
from tests.odd_json import Answers, item, odd_versions, open_versions, replace_part
from tests.platform_system import PlatformSystem, run

ENTRY = {
    "service": "s",
    "address": "127.0.0.1:1",
    "zone": "z",
    "state": "ready",
    "slots": 4,
    "born": 5,
    "version": "v",
    "cold_remaining_ms": 0,
}
IGNORED_ENTRY = "endpoints: Ignored an invalid entry."
IGNORED_ORDER = "rollout: Ignored a broken order."
IGNORED_CONFIG = "config: Ignored a broken configuration."
TASK_FAILED = "daemon: Task failed, restarting."


@pytest.fixture
def logged() -> Iterator[list[dict[str, Any]]]:
    """The events that hosts log during a test."""
    events: list[dict[str, Any]] = []
    eliot.add_destinations(events.append)
    yield events
    eliot.remove_destination(events.append)


def check_total(decode: Callable[[bytes], object], spec: bytes) -> None:
    """Check that a decoder returns a value, or raises the error that it names."""
    try:
        decode(spec)
    except ValueError as error:
        assert str(error)


class TestConfiguration:
    @settings(deadline=None, derandomize=True)
    @given(odd_versions(make_config()))
    def test_it_is_decoded_or_rejected(self, spec):
        check_total(decode_routes, spec)

    @pytest.mark.parametrize(
        "name", ["timeout_ms", "target_latency_ms", "target_gap_ms"]
    )
    @pytest.mark.parametrize("value", [b"1e300", b"-1", b"1" + b"0" * 30])
    def test_a_duration_out_of_range_is_rejected(self, name, value):
        with pytest.raises(ValueError, match=name):
            decode_routes(replace_part(make_config(), ("routes", 0, name), value))

    def test_the_error_names_the_version(self):
        """Guards against a log line that does not say which version is not followed."""
        spec = replace_part(make_config(7), ("routes", 0, "timeout_ms"), b"1e300")
        with pytest.raises(ValueError, match="version 7"):
            decode_routes(spec)

    @pytest.mark.parametrize(
        ("path", "value"),
        [
            (("version",), b"1" + b"0" * 30),
            (("version",), b"-1"),
            (("routes", 0, "priority"), b"1" + b"0" * 30),
            (("routes", 0, "max_attempts"), b"1" + b"0" * 30),
            (("tenants", 0, "priority"), b"-1" + b"0" * 30),
            (("services", 0, "engine", "kv_capacity_tokens"), b"1" + b"0" * 400),
            (("services", 0, "engine", "kv_capacity_tokens"), b"-1"),
            (("services", 0, "max_connections"), b"1" + b"0" * 30),
            (("limits", "max_body_bytes"), b"1" + b"0" * 30),
        ],
    )
    def test_a_number_out_of_range_is_rejected(self, path, value):
        """Guards against numbers that hosts can't send to each other or compute with.

        With such a rank, hosts stop telling each other what they use; with such a
        version they do not find each other; with such a capacity streams get 500.
        """
        with pytest.raises(ValueError, match=path[-1]):
            decode_routes(replace_part(make_config(), path, value))

    @pytest.mark.parametrize(
        "name", ["max_header_bytes", "header_timeout_ms", "idle_timeout_ms"]
    )
    def test_a_limit_that_refuses_every_request_is_rejected(self, name):
        spec = replace_part(make_config(), ("limits", name), b"0")
        with pytest.raises(ValueError, match=name):
            decode_routes(spec)


class TestEndpointEntry:
    @settings(deadline=None, derandomize=True)
    @given(odd_versions(ENTRY))
    def test_it_is_decoded_or_rejected(self, spec):
        check_total(lambda text: decode_endpoint("i-1", text), spec)

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("slots", b"1" + b"0" * 30),
            ("slots", b"1" + b"0" * 400),
            ("born", b"1" + b"0" * 30),
            ("cold_remaining_ms", b"1e999"),
            ("address", b'"127.0.0.1:70000"'),
            ("address", b'"127.0.0.1:-1"'),
            ("address", b'"127.0.0.1:' + b"9" * 5000 + b'"'),
        ],
    )
    def test_a_number_out_of_range_is_rejected(self, name, value):
        with pytest.raises(ValueError, match=r"."):
            decode_endpoint("i-1", replace_part(ENTRY, (name,), value))

    def test_fewer_slots_than_one_count_as_one(self):
        entry = replace_part(ENTRY, ("slots",), b"-1")
        assert decode_endpoint("i-1", entry).max_streams == 1


#: Names that no header can carry.
ODD_NAMES = ["", " a", "a ", "a\nb", "a\r\nX-Key: 1", "a\0b", "a\x7f", "x" * 2000]


class TestNames:
    """Endpoints are told their name, and that of the caller's workspace, in headers."""

    @pytest.mark.parametrize("name", ODD_NAMES)
    def test_an_endpoint_whose_name_no_header_can_carry_is_rejected(self, name):
        with pytest.raises(ValueError, match="name"):
            decode_endpoint(name, msgspec.json.encode(ENTRY))

    @pytest.mark.parametrize("name", ODD_NAMES[1:])
    def test_a_workspace_whose_name_no_header_can_carry_is_rejected(self, name):
        path = ("tenants", 0, "name")
        with pytest.raises(ValueError, match="name"):
            decode_routes(replace_part(make_config(), path, msgspec.json.encode(name)))

    @settings(deadline=None, derandomize=True)
    @given(st.text() | st.sampled_from(["a b", "a\tb", "\u00e9", "\u65e5\u672c"]))
    def test_a_name_that_is_taken_can_be_sent(self, name):
        try:
            decode_endpoint(name, msgspec.json.encode(ENTRY))
        except ValueError:
            return
        headers = [("Host", "h"), ("X-Expect-Instance", name.encode())]
        assert h11.Request(method="GET", target="/", headers=headers)

    @pytest.mark.parametrize("handle", ["", "a b", "a\nb", "\u00e9", "x" * 2000])
    def test_a_handle_that_no_path_can_hold_is_rejected(self, handle):
        with pytest.raises(ValueError, match="handle"):
            decode_copy_handle(msgspec.json.encode({"handle": handle}))


class TestReports:
    """Reports of endpoints that are queried before a prompt is placed."""

    samples: ClassVar[list[tuple[Callable[[bytes], object], Any]]] = [
        (decode_copy_handle, {"handle": "h1"}),
        (
            count_waiting_runs,
            {"models": [{}], "queued": 2, "running": 3, "runs": [["q1", 5, 14]]},
        ),
        (decode_cached_parts, {"events": [[1, "+", "", "5c1e"], [2, "-", "", "5c1e"]]}),
    ]

    @settings(deadline=None, derandomize=True)
    @given(st.data())
    def test_they_are_decoded_or_rejected(self, data):
        for decode, sample in self.samples:
            check_total(decode, data.draw(odd_versions(sample)))

    @settings(deadline=None, derandomize=True)
    @given(odd_versions({"models": [{}], "queued": 2}))
    def test_whether_one_is_of_an_engine_is_told(self, body):
        assert is_engine_report(body) in (True, False)


class TestRolloutOrder:
    sample: ClassVar[dict[str, Any]] = {
        "metadata": {"name": "s", "revision": 7, "created": 3},
        "spec": {"service": "s", "target_version": "v2", "duration_s": 4},
        "status": {"state": "running", "target_version": "v2"},
    }

    @settings(deadline=None, derandomize=True)
    @given(odd_versions(sample))
    def test_it_is_decoded_or_rejected(self, text):
        check_total(lambda text: decode_rollout(to_stored(text)), text)


class TestVersionRecord:
    """Guards against a record that ends the task which keeps records up to date."""

    @settings(deadline=None, derandomize=True)
    @given(odd_versions({"versions": ["v1", "v2"]}))
    def test_it_is_decoded_or_rejected(self, spec):
        with contextlib.suppress(PlatformError):
            create_record(spec)

    @pytest.mark.parametrize(
        "spec", [b'"\xff"', b"[" * 100_000 + b"]" * 100_000, b'{"versions":[7]}']
    )
    def test_one_that_is_no_record_is_replaced_and_shows_nothing(self, spec):
        record = create_record(spec)
        assert not record.is_current
        assert record.versions == frozenset()
        assert record.revision == 5


class TestVersionsInTheHistory:
    good = msgspec.json.encode(ENTRY)

    # Guards against one odd entry that hides the history of all services until the
    # store forgets it. Hosts send no requests to an endpoint by such an entry.
    @pytest.mark.parametrize(
        "spec",
        [
            b"null",
            b"7",
            b"{}",
            b'"\xff"',
            b'{"service":7,"version":"v2"}',
            b'{"service":"other","version":7}',
            b"[" * 100_000 + b"]" * 100_000,
        ],
    )
    def test_an_entry_of_no_service_hides_no_version(self, spec):
        assert list_past(spec, self.good) == {"v"}

    # Guards against a version that counts as never seen: an entry that can't be
    # followed now may have been followed by hosts of another version of passtally.
    def test_a_version_counts_whatever_else_the_entry_holds(self):
        odd = replace_part(ENTRY | {"version": "v2"}, ("slots",), b"1" + b"0" * 30)
        assert list_past(odd, self.good) == {"v", "v2"}

    @pytest.mark.parametrize("version", [b"7", b"null", b"[]"])
    def test_an_unknown_version_of_the_service_leaves_the_history_unknown(
        self, version
    ):
        with pytest.raises(UnavailableError):
            list_past(self.good, replace_part(ENTRY, ("version",), version))

    @settings(deadline=None, derandomize=True)
    @given(odd_versions(ENTRY))
    def test_any_entry_is_decoded_or_the_history_is_unknown(self, spec):
        with contextlib.suppress(PlatformError):
            assert "v" in list_past(spec, self.good)


class TestEndpointEntryOnThePlatform:
    # Guards against 500 for each call that is sent to an endpoint of such a name.
    @pytest.mark.parametrize("name", [" odd", "o\0d"])
    def test_an_odd_name_affects_no_other_endpoint(self, name, logged):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config())
            runner = await system.add_runner("i-look", LOOKUPS)
            await system.add_host()
            await system.wait_ready()
            system.store.put("servers", name, runner.entry(LOOKUPS) | {"slots": 99})
            await log_of(logged, IGNORED_ENTRY)
            for _ in range(4):
                assert (await system.send("/look/1")).status == 200

        run(test)

    # Guards against a host that stops telling others its loads and losses: the number
    # of a brittle endpoint's slots is part of the same message.
    def test_a_count_that_no_message_can_hold_affects_no_other_endpoint(self, logged):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config())
            for name in ("i-odd", "i-look"):
                runner = await system.add_runner(name, LOOKUPS)
                runner.faults.brittle = "3"
            odd = system.store.find("servers", "i-odd") | {"slots": 10**30}
            system.store.put("servers", "i-odd", odd)
            host = await system.add_host()
            await system.add_host("front-2", seeds=str(host.settings.peer_listen))
            await system.wait_ready(endpoints=1)
            for _ in range(4):
                assert (await system.send("/look/1")).status == 200
            # The hosts tell each other of brittle endpoints meanwhile.
            await asyncio.sleep(0.5)
            system.store.put("servers", "i-odd", odd | {"slots": 8})
            await system.wait_ready(endpoints=2)
            system.store.remove("servers", "i-odd")
            await system.wait_ready(endpoints=1)
            assert (await system.send("/look/1")).status == 200

        run(test)
        assert not find(logged, TASK_FAILED)
        assert find(logged, IGNORED_ENTRY)[0]["peer"] == "i-odd"


class TestRevisions:
    good = item("good", 3, msgspec.json.encode(ENTRY))

    def list_all(self, items: bytes, store_revision: int) -> Listing:
        body = b'{"items":[%b],"store_revision":%d}' % (items, store_revision)
        store = PlatformStore(fetcher=Answers(body), url="http://127.0.0.1:1")
        return asyncio.run(store.list_objects("servers/"))

    # Guards against a version that no message to another host can hold, and that counts
    # as one of a store that was restored since.
    @pytest.mark.parametrize("revision", [10**12, 10**30, -1])
    def test_an_object_with_one_out_of_range_is_skipped(self, revision):
        odd = item("odd", revision, b"{}")
        listing = self.list_all(odd + b"," + self.good, 9)
        assert [stored.key for stored in listing.objects] == ["servers/good"]

    @pytest.mark.parametrize("revision", [10**12, 10**30, -1])
    def test_an_answer_with_one_out_of_range_is_none(self, revision):
        with pytest.raises(UnavailableError):
            self.list_all(self.good, revision)


class TestNumbersOfEvents:
    # Guards against an event whose number ends its request with an error of the host's
    # own, instead of the attempt at this endpoint.
    @pytest.mark.parametrize("digits", [19, 400, 5000])
    def test_one_out_of_range_ends_the_attempt(self, digits):
        with pytest.raises(AttemptLostError):
            read_event(b"id: " + b"9" * digits + b"\ndata: x\n\n")

    def test_the_largest_number_is_followed(self):
        assert read_event(b"id: " + b"9" * 18 + b"\ndata: x\n\n")


def read_event(event: bytes) -> list[TokenEvent]:
    """Read one event of an endpoint's stream."""

    class Connection:
        async def read(self) -> bytes:
            return event

    endpoint = decode_endpoint("i-1", msgspec.json.encode(ENTRY))
    stream = RunnerStream(
        link=RunnerLink(endpoint=endpoint, pool=None, clock=None, recorder=None),
        connection=Connection(),
        head=ResponseHead(status=200, headers=[], is_framed=True),
        attempt=Attempt(number=0, endpoint_id="i-1", start_position=0),
        position=0,
    )
    return asyncio.run(stream.read())


def to_stored(text: bytes) -> StoredObject:
    return StoredObject(key="rollouts/s", version=7, value=msgspec.Raw(text))


def list_past(*specs: bytes) -> frozenset[str]:
    """Return the versions of service "s" if the store's history has these entries."""
    events = b",".join(b'{"object":%b}' % item("i-1", 5, spec) for spec in specs)
    body = b'{"events":[%b],"store_revision":9}' % events
    store = PlatformStore(fetcher=Answers(body), url="http://127.0.0.1:1")
    versions = open_versions(store)
    return asyncio.run(versions.list_past("s"))


def create_record(spec: bytes) -> VersionRecord:
    """Return the record that a host reads if the store holds this one."""
    answers = Answers(item("s", 5, spec))
    store = PlatformStore(fetcher=answers, url="http://127.0.0.1:1")
    versions = open_versions(store)
    return asyncio.run(versions.create("s", ["v1"]))


def odd_config(version: int) -> dict:
    """Return a configuration with a time limit that no duration can hold."""
    config = make_config(version)
    config["routes"][0]["timeout_ms"] = 1e300
    return config


class TestRolloutOrderOnThePlatform:
    def test_it_affects_no_later_order(self, logged):
        async def test(system: PlatformSystem) -> None:
            odd = {"service": LOOKUPS, "target_version": "v2", "duration_s": 1e300}
            system.store.put("config", "main", make_config())
            system.store.put("rollouts", LOOKUPS, odd)
            await system.add_runner("i-look", LOOKUPS)
            host = await system.add_host(exposure_share="0.1", exposure_slack="50")
            await system.wait_ready()
            await log_of(logged, IGNORED_ORDER)
            assert (await system.send("/look/1")).status == 200
            system.store.put("rollouts", LOOKUPS, odd | {"duration_s": 4})
            while not host.config.rollouts.states_by_service:
                await asyncio.sleep(0.01)
            system.store.put("rollouts", LOOKUPS, odd | {"duration_s": "soon"})
            await log_of(logged, IGNORED_ORDER, count=2)
            system.store.remove("rollouts", LOOKUPS)
            while host.config.rollouts.states_by_service:
                await asyncio.sleep(0.01)
            assert (await system.send("/look/1")).status == 200

        run(test)
        assert not find(logged, TASK_FAILED)


class TestVersionRecordOnThePlatform:
    def test_hosts_go_on_and_replace_one_that_is_not_readable(self, logged):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config())
            system.store.put("software-versions", ENGINE, {"versions": 7})
            for version in ("v1", "v2"):
                await system.add_runner(f"i-{version}", version=version)
            await system.add_host()
            await system.wait_ready()
            await log_of(logged, "versions: Invalid record.")
            assert (await system.stream()).status == 200
            await log_of(logged, "versions: Recorded.")
            recorded = system.store.find("software-versions", ENGINE)
            assert recorded["versions"] == ["v1", "v2"]
            assert (await system.stream()).status == 200

        run(test)
        assert not find(logged, TASK_FAILED)


class TestConfigurationOnThePlatform:
    def test_the_one_before_stays_in_force(self, logged):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config(1))
            await system.add_runner("i-look", LOOKUPS)
            host = await system.add_host()
            await system.wait_ready()
            system.store.put("config", "main", odd_config(2))
            await log_of(logged, IGNORED_CONFIG)
            assert host.routes.current.version == 1
            assert (await system.send("/look/1")).status == 200
            system.store.put("config", "main", make_config(3))
            while host.routes.current.version != 3:
                await asyncio.sleep(0.01)
            assert (await system.send("/look/1")).status == 200

        run(test)
        check_log(logged)

    def test_a_host_starts_with_the_next_good_one(self, logged):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", odd_config(2))
            await system.add_runner("i-look", LOOKUPS)
            host = await system.add_host()
            await log_of(logged, IGNORED_CONFIG)
            assert not host.is_ready
            assert (await system.send("/look/1")).status == 503
            system.store.put("config", "main", make_config(3))
            await system.wait_ready()
            assert (await system.send("/look/1")).status == 200

        run(test)
        check_log(logged)


def check_log(events: list[dict[str, Any]]) -> None:
    """Check that one line tells the operator, and that no task was restarted."""
    assert not find(events, TASK_FAILED)
    (event,) = find(events, IGNORED_CONFIG)
    assert "version 2" in event["why"]


async def log_of(events: list[dict[str, Any]], message: str, *, count: int = 1) -> None:
    """Wait until an event has been logged."""
    while len(find(events, message)) < count:
        await asyncio.sleep(0.01)


def find(events: list[dict[str, Any]], message: str) -> list[dict[str, Any]]:
    return [event for event in events if event.get("message") == message]
