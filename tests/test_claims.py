"""At most one claim holds each key, whichever calls to the platform are lost."""

import asyncio
from datetime import timedelta
from itertools import pairwise

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from passtally.at_most_once import SEND_WINDOW
from passtally.claim_log import ClaimLog, ClaimVerdict, Segment, Void, read_segment
from passtally.claims import ShardWriter, new_claim
from passtally.clock import ManualClock
from tests.fakes import FakePlatform

RETENTION = timedelta(hours=1)
HOSTS = ("a", "b", "c")


def make_claim(key: str, *, holder: str = "a", body: bytes = b""):
    return new_claim(workspace="w", service="s", key=key, body=body, holder=holder)


def make_writer(platform: FakePlatform, clock: ManualClock) -> ShardWriter:
    return ShardWriter(shard=0, platform=platform, clock=clock, retention=RETENTION)


class TestClaimLog:
    def test_the_first_claim_holds_the_key(self):
        log = ClaimLog(retention=RETENTION)
        first, second = make_claim("k"), make_claim("k")
        log.apply(1, Segment(nonce=b"1", claims=(first, second)), timedelta(0))
        assert log.find_verdict(first) is ClaimVerdict.GRANTED
        assert log.find_verdict(second) is ClaimVerdict.HELD
        assert log.find_verdict(make_claim("k", body=b"x")) is ClaimVerdict.MISMATCH
        assert log.find_verdict(make_claim("other")) is None

    def test_a_void_also_applies_to_a_later_claim(self):
        log = ClaimLog(retention=RETENTION)
        claim = make_claim("k")
        void = Void(digest=claim.digest, nonce=claim.nonce)
        log.apply(1, Segment(nonce=b"1", voids=(void,)), timedelta(0))
        log.apply(2, Segment(nonce=b"2", claims=(claim,)), timedelta(0))
        assert log.find_verdict(claim) is None

    def test_the_next_claim_holds_the_key_after_a_void(self):
        log = ClaimLog(retention=RETENTION)
        voided, sent = make_claim("k"), make_claim("k")
        log.apply(1, Segment(nonce=b"1", claims=(voided,)), timedelta(0))
        log.apply(2, Segment(nonce=b"2", claims=(sent,)), timedelta(0))
        void = Void(digest=voided.digest, nonce=voided.nonce)
        log.apply(3, Segment(nonce=b"3", voids=(void,)), timedelta(0))
        assert log.find_verdict(make_claim("k")) is ClaimVerdict.HELD

    def test_claims_are_kept_for_the_retention_and_the_last_segment_stays(self):
        log = ClaimLog(retention=RETENTION)
        old, new = make_claim("old"), make_claim("new")
        log.apply(1, Segment(nonce=b"1", claims=(old,)), timedelta(0))
        log.apply(2, Segment(nonce=b"2", claims=(new,)), timedelta(minutes=1))
        assert log.expire(RETENTION - timedelta(seconds=1)) == []
        assert log.expire(RETENTION + timedelta(minutes=5)) == [1]
        assert log.find_verdict(old) is None
        assert log.find_verdict(new) is ClaimVerdict.GRANTED

    def test_a_segment_is_decoded_as_encoded(self):
        claim = make_claim("k", holder="entry-1", body=b"x")
        void = Void(digest=b"d" * 16, nonce=b"n" * 8)
        segment = Segment(nonce=b"12345678", claims=(claim,), voids=(void,))
        assert read_segment(segment.to_json()) == segment


class TestShardWriter:
    def run_claims(self, platform, clock, *claims, faults=()):
        async def run():
            writer = make_writer(platform, clock)
            platform.faults.extend(faults)
            return await asyncio.gather(*(writer.claim(claim) for claim in claims))

        return [result.verdict for result in asyncio.run(run())]

    @pytest.mark.parametrize("fault", ["lost", "late", "down"])
    def test_a_claim_whose_answer_was_lost_is_granted(self, fault):
        platform, clock = FakePlatform(), ManualClock()
        claim = make_claim("k")
        verdicts = self.run_claims(platform, clock, claim, faults=["ok", fault])
        assert verdicts == [ClaimVerdict.GRANTED]
        retry = self.run_claims(platform, clock, make_claim("k", holder="b"))
        assert retry == [ClaimVerdict.HELD]

    def test_a_claim_unavailable_in_an_outage_still_holds_by_its_late_write(self):
        platform, clock = FakePlatform(), ManualClock()
        faults = ["ok"] + ["late"] * 50
        verdicts = self.run_claims(platform, clock, make_claim("k"), faults=faults)
        assert verdicts == [ClaimVerdict.UNAVAILABLE]
        platform.faults.clear()
        later = self.run_claims(platform, clock, make_claim("k"))
        assert later == [ClaimVerdict.HELD]

    def test_many_claims_share_one_write(self):
        platform, clock = FakePlatform(), ManualClock()
        claims = [make_claim(f"k{number}") for number in range(500)]
        verdicts = self.run_claims(platform, clock, *claims)
        assert set(verdicts) == {ClaimVerdict.GRANTED}
        assert platform.calls.count("create") == 1

    def claim_after_suspension(self, log: ClaimLog) -> ClaimVerdict:
        """Suspend a writer past the retention, then claim a key that another holds."""

        async def run() -> ClaimVerdict:
            platform, clock = FakePlatform(), ManualClock()
            suspended, other = (
                make_writer(platform, clock),
                make_writer(platform, clock),
            )
            suspended.log = log
            await suspended.claim(make_claim("k0"))
            for number in range(3):
                await other.claim(make_claim(f"k{number + 1}"))
                clock.advance(RETENTION * 0.6)
                await other.claim(make_claim("held" if number == 2 else f"x{number}"))
                await other.expire(remove=True)
            result = await suspended.claim(make_claim("held"))
            return result.verdict

        return asyncio.run(run())

    def test_a_writer_suspended_past_the_retention_lists_again(self):
        log = ClaimLog(retention=RETENTION)
        assert self.claim_after_suspension(log) is ClaimVerdict.HELD

    def test_without_listing_again_it_would_be_granted_a_held_key(self):
        log = AlwaysFreshLog(retention=RETENTION)
        assert self.claim_after_suspension(log) is ClaimVerdict.GRANTED


class ClaimMachine(RuleBasedStateMachine):
    """Hosts compete for keys while the platform loses, delays or refuses calls.

    A holder sends its request only within SEND_WINDOW of its claim, else it voids the
    claim. No key may be sent twice within the retention.
    """

    writer_class = ShardWriter

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.platform = FakePlatform()
        self.clock = ManualClock()
        self.writers = {host: self.make_writer() for host in HOSTS}
        self.sends_by_key: dict[str, list[timedelta]] = {}

    def make_writer(self) -> ShardWriter:
        return self.writer_class(
            shard=0, platform=self.platform, clock=self.clock, retention=RETENTION
        )

    def teardown(self) -> None:
        self.platform.faults.clear()
        self.loop.run_until_complete(self._cancel_tasks())
        self.loop.close()

    @rule(
        key=st.sampled_from("xyz"),
        racers=st.lists(st.sampled_from(HOSTS), min_size=1, max_size=4),
        faults=st.lists(st.sampled_from(["ok", "lost", "late", "down"]), max_size=12),
        pause=st.sampled_from([0, 1, 10, 4000]),
        gives_up=st.booleans(),
    )
    def race(self, key, racers, faults, pause, gives_up):
        self.platform.faults.extend(faults)
        self.loop.run_until_complete(self.run_race(racers, key, pause, gives_up))
        self.platform.faults.clear()

    async def run_race(self, racers, key, pause, gives_up) -> None:
        work = (self.claim_and_send(host, key, pause, gives_up) for host in racers)
        await asyncio.gather(*work)

    async def claim_and_send(self, host, key, pause, gives_up) -> None:
        writer = self.writers[host]
        claim = make_claim(key, holder=host)
        claimed_at = self.clock.monotonic()
        result = await writer.claim(claim)
        if result.verdict is ClaimVerdict.UNAVAILABLE:
            writer.void(claim)
        if result.verdict is not ClaimVerdict.GRANTED:
            return
        self.clock.advance(timedelta(seconds=pause))
        lapsed = self.clock.monotonic() - claimed_at > SEND_WINDOW
        if lapsed or gives_up:
            writer.void(claim)
            return
        self.sends_by_key.setdefault(key, []).append(self.clock.monotonic())

    @rule(host=st.sampled_from(HOSTS))
    def restart(self, host):
        self.writers[host] = self.make_writer()

    @rule(minutes=st.sampled_from([1, 25, 50]))
    def pass_time(self, minutes):
        self.clock.advance(timedelta(minutes=minutes))

    @rule(host=st.sampled_from(HOSTS))
    def expire(self, host):
        self.loop.run_until_complete(self.writers[host].expire(remove=True))

    @invariant()
    def no_key_was_sent_twice_within_the_retention(self):
        for times in self.sends_by_key.values():
            for before, after in pairwise(times):
                assert after - before >= RETENTION - SEND_WINDOW

    async def _cancel_tasks(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class AllGrantingLog(ClaimLog):
    """Faulty: reports a key held by another claim as granted."""

    def find_verdict(self, claim):
        verdict = super().find_verdict(claim)
        return ClaimVerdict.GRANTED if verdict is ClaimVerdict.HELD else verdict


class AlwaysFreshLog(ClaimLog):
    """Faulty: counts as fresh however long ago the last sync was."""

    def is_fresh(self, now):
        return self.synced_at is not None


class NoReadBackWriter(ShardWriter):
    """Faulty: treats a conflict as success without reading the segment back."""

    async def _read_back(self, number, segment):
        self.log.apply(number, segment, self._clock.monotonic())
        return True


class TestClaimMachine:
    def run_machine(self, machine, examples=60):
        run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=examples, deadline=None, derandomize=True, print_blob=False
            ),
        )

    def test_no_key_is_sent_twice(self):
        self.run_machine(ClaimMachine)

    def test_the_machine_detects_a_log_that_grants_held_keys(self):
        class Broken(ClaimMachine):
            def make_writer(self):
                writer = super().make_writer()
                writer.log = AllGrantingLog(retention=RETENTION)
                return writer

        with pytest.raises(AssertionError):
            self.run_machine(Broken)

    def test_the_machine_detects_a_writer_that_does_not_read_back(self):
        class Broken(ClaimMachine):
            writer_class = NoReadBackWriter

        with pytest.raises(AssertionError):
            self.run_machine(Broken)
