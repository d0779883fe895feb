"""Odd values in objects of the product's own platform, and in answers and messages.

Guards against an error that a decoder does not name: it would end a task that many
objects depend on, or answer a caller with an error of the host's own.
"""

import asyncio
import contextlib
from collections.abc import Callable
from datetime import timedelta
from unittest import mock

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passtally import http_platform, orders
from passtally.catalog import Catalog
from passtally.claim_log import ClaimVerdict
from passtally.claims import CLAIMS_PREFIX
from passtally.clock import ManualClock
from passtally.completion import Flavour, parse_body
from passtally.config_store import ConfigStore
from passtally.engine import AttemptLostError
from passtally.fetch import Fetched
from passtally.http_engine import HttpTokenStream
from passtally.http_platform import HttpPlatform
from passtally.intent import INTENTS_PREFIX, LEDGER_KEY
from passtally.jobs import JOBS_PREFIX, Jobs
from passtally.lease import Lease
from passtally.message_signing import MessageSigner
from passtally.messages import HostNews, LimitRow, decode_message
from passtally.object_store import (
    Listing,
    PlatformError,
    StoredObject,
    UnavailableError,
)
from passtally.object_transfer import pack, unpack_listing
from passtally.objects import Endpoint, Workspace, digest_token
from passtally.orders import HttpOrders, OrderError
from passtally.outcome import RefusedError
from passtally.tunnel_frames import FrameDecoder, FrameError, encode_message
from tests.fakes import FakePlatform
from tests.odd_json import ODD_VALUES, Answers, odd_versions
from tests.test_claims import make_claim, make_writer

DEEP = b"[" * 100_000 + b"]" * 100_000
#: Nested too deep in a field that no type has.
DEEP_FIELD = b'{"unknown":' + DEEP + b"}"
ODD = [b"7", b"{}", b'{"id":"\xff"}', DEEP_FIELD]
ODD_IDS = ["number", "empty", "not utf-8", "deep"]
WORKSPACE = Workspace(id="a", token_sha256=digest_token("t"))

with_odd = pytest.mark.parametrize("value", ODD, ids=ODD_IDS)


def to_stored(key: str, version: int, value: bytes) -> StoredObject:
    return StoredObject(key=key, version=version, value=msgspec.Raw(value))


def odd_platform(key: str, value: bytes) -> FakePlatform:
    """Return a platform that holds one odd object."""
    platform = FakePlatform()
    asyncio.run(platform.create(key, value))
    return platform


class TestCatalog:
    @pytest.mark.parametrize(
        "key",
        [LEDGER_KEY, "config/workspaces/a", "config/services/a", "config/endpoints/a"],
    )
    @with_odd
    def test_the_other_objects_are_followed(self, key, value):
        catalog = Catalog()
        good = to_stored("config/workspaces/b", 2, msgspec.json.encode(WORKSPACE))
        changes = Listing(version=2, objects=(to_stored(key, 1, value), good))
        catalog.advance(changes)
        assert list(catalog.workspaces_by_id) == ["b"]
        assert catalog.version == 2


class TestLease:
    @with_odd
    def test_a_record_that_is_none_is_not_taken_over(self, value):
        lease = Lease(
            key="leases/x",
            holder="a",
            platform=odd_platform("leases/x", value),
            clock=ManualClock(),
        )
        assert not asyncio.run(lease.try_acquire())


class TestClaims:
    @with_odd
    def test_no_key_is_granted_beside_a_segment_that_is_none(self, value):
        async def run() -> ClaimVerdict:
            writer = make_writer(platform, ManualClock())
            return (await writer.claim(make_claim("k"))).verdict

        platform = odd_platform(f"{CLAIMS_PREFIX}0000/000000000001", value)
        assert asyncio.run(run()) is ClaimVerdict.UNAVAILABLE


class TestConfigStore:
    @with_odd
    def test_a_broken_intent_is_left_out_and_not_available(self, value):
        platform = odd_platform(INTENTS_PREFIX + "x", value)
        store = ConfigStore(platform=platform, clock=ManualClock())
        assert asyncio.run(store.list_intents()) == []
        with pytest.raises(UnavailableError):
            asyncio.run(store.get_intent("x"))

    @pytest.mark.parametrize(
        "value", [b"7", b'"x"', DEEP_FIELD], ids=["7", "x", "deep"]
    )
    def test_a_broken_ledger_is_not_replaced(self, value):
        platform = odd_platform(LEDGER_KEY, value)
        store = ConfigStore(platform=platform, clock=ManualClock())
        with pytest.raises(UnavailableError):
            asyncio.run(store.change_ledger(lambda ledger: ledger))


class TestJobs:
    @with_odd
    def test_a_broken_job_is_left_alone_and_refused(self, value):
        platform, clock = odd_platform(JOBS_PREFIX + "x", value), ManualClock()
        jobs = Jobs(
            host_id="a",
            store=ConfigStore(platform=platform, clock=clock),
            platform=platform,
            gossip=None,
            clock=clock,
            drain=None,
            run_job=None,
        )
        asyncio.run(jobs.expire())
        assert JOBS_PREFIX + "x" in platform.objects_by_key
        with pytest.raises(RefusedError):
            asyncio.run(jobs.collect("x", "w"))


class TestListings:
    sample = msgspec.json.decode(
        msgspec.json.encode(
            Listing(version=3, objects=(to_stored("config/a", 3, b'{"a":1}'),))
        )
    )

    @settings(deadline=None, derandomize=True)
    @given(odd_versions(sample) | st.binary())
    def test_those_of_other_hosts_are_decoded_or_rejected(self, text):
        for packed in (text, pack(text)):
            try:
                unpack_listing(packed)
            except ValueError as error:
                assert str(error)

    @settings(deadline=None, derandomize=True)
    @given(odd_versions(sample) | st.binary())
    def test_those_of_the_platform_are_decoded_or_rejected(self, text):
        calls: list[Callable] = [
            lambda platform: platform.list_objects("config/"),
            lambda platform: platform.watch("config/", after=1, wait=timedelta(0)),
            lambda platform: platform.get("config/a"),
            lambda platform: platform.create("config/a", b"{}"),
            lambda platform: platform.update("config/a", b"{}", version=1),
            lambda platform: platform.hosts(),
        ]
        for call in calls:
            answers = mock.Mock(return_value=Answers(text))
            with mock.patch.object(http_platform, "SessionFetcher", answers):
                platform = HttpPlatform(session=None, url="http://127.0.0.1:1")
            try:
                asyncio.run(call(platform))
            except PlatformError as error:
                assert error.step


class TestEngines:
    endpoint = Endpoint(
        id="e", service="s", url="http://127.0.0.1:1", failure_domain=""
    )

    @with_odd
    def test_a_report_that_is_none_is_an_order_error(self, value, monkeypatch):
        async def fetch(*args: object, **fields: object) -> Fetched:
            return Fetched(status=200, body=value)

        monkeypatch.setattr(orders, "fetch", fetch)
        with pytest.raises(OrderError):
            asyncio.run(HttpOrders(session=None).report(self.endpoint))

    @pytest.mark.parametrize("event", [*ODD_VALUES, b'{"choices":[]}', DEEP_FIELD])
    def test_an_event_that_is_none_ends_the_attempt(self, event):
        with pytest.raises(AttemptLostError):
            asyncio.run(open_stream(b"data: " + event + b"\n\n").read())

    @pytest.mark.parametrize("text", ["²,1,1,0", "9" * 5000 + ",1,1,0", "1,1,1"])
    def test_a_load_that_is_none_is_ignored(self, text):
        assert open_stream(b"", load=text).report is None


class TestMessages:
    """Messages of hosts of another version: a reader that ends would never reply."""

    deep = b"\x91" * 100_000 + b"\x01"

    def test_a_message_nested_too_deep_is_rejected(self):
        message = b"\x93" + msgspec.msgpack.encode("fetch_routes") + b"\x01" + self.deep
        with pytest.raises(ValueError, match="recursion"):
            decode_message(message)

    @pytest.mark.parametrize("age", [1 << 62, -(1 << 62), (1 << 64) - 1])
    def test_a_time_that_no_duration_holds_is_rejected(self, age):
        row = LimitRow(endpoint_id="e", incarnation=1, rate=1.0, age_ms=age)
        news = HostNews(host_id="a", loads_by_endpoint={}, lost=[], limits=[row])
        with pytest.raises(ValueError, match="int"):
            decode_message(msgspec.msgpack.encode(news))

    @settings(deadline=None, derandomize=True)
    @given(st.binary())
    def test_bytes_are_decoded_or_rejected(self, payload):
        with contextlib.suppress(ValueError):
            decode_message(payload)

    def test_a_frame_nested_too_deep_is_rejected(self):
        signer = MessageSigner(keys=[b"k" * 16])
        message = b"\x93" + msgspec.msgpack.encode("tunnel_ended") + b"\xc3" + self.deep
        frame = encode_message(msgspec.Raw(message), signer)
        with pytest.raises(FrameError):
            list(FrameDecoder(signer=signer).feed(frame))


class TestCallers:
    @pytest.mark.parametrize("value", [DEEP_FIELD, DEEP, b'"\xff"'])
    def test_a_body_that_is_no_request_is_refused(self, value):
        with pytest.raises(RefusedError):
            parse_body(value, Flavour.CHAT)


def open_stream(data: bytes, *, load: str = "") -> HttpTokenStream:
    """Return the stream of an engine that sends this data, then closes."""

    class Content:
        def __init__(self) -> None:
            self.chunks = [data]

        async def readany(self) -> bytes:
            return self.chunks.pop() if self.chunks else b""

    class Response:
        headers = {"X-Engine-Load": load}
        content = Content()

    return HttpTokenStream(response=Response(), step="generate", peer="e")
