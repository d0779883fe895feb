"""Callers that were refused, and when they were told to return."""

import asyncio
from datetime import timedelta

import pytest

from passtally.promises import KEEP_AFTER, MAX_PROMISES, Promise, Promises
from standins.virtual import run_virtually
from tests.test_usage_exchange import CONVERGES_WITHIN, start_fleet

NOW = timedelta(seconds=100)
DUE = NOW + timedelta(seconds=3)


def make_promise(fingerprint: bytes = b"f", due_at: timedelta = DUE) -> Promise:
    return Promise(fingerprint=fingerprint, due_at=due_at)


class TestPromises:
    # Guards against a caller that gains by coming back early.
    @pytest.mark.parametrize(
        ("seconds", "is_due"), [(-2, False), (-0.05, True), (0, True), (2, True)]
    )
    def test_a_caller_returns_as_told_from_the_told_time_on(self, seconds, is_due):
        promises = Promises()
        promises.add(make_promise(), now=NOW)
        assert promises.is_due(b"f", now=DUE + timedelta(seconds=seconds)) == is_due

    def test_a_caller_that_was_told_nothing_does_not_return(self):
        assert not Promises().is_due(b"f", now=NOW)
        assert not Promises().is_due(b"", now=NOW)

    # Guards against a caller that repeats early, is refused again, and then counts by
    # the first refusal.
    def test_the_latest_word_counts(self):
        promises = Promises()
        promises.add(make_promise(), now=NOW)
        later = DUE + timedelta(seconds=5)
        promises.merge([make_promise(due_at=later)], now=NOW)
        promises.merge([make_promise()], now=NOW)
        assert not promises.is_due(b"f", now=DUE)
        assert promises.is_due(b"f", now=later)

    def test_the_next_ones_are_told_to_others_until_they_are_long_over(self):
        promises = Promises()
        for number in range(5):
            due_at = DUE + timedelta(seconds=number)
            promises.add(make_promise(b"%d" % number, due_at), now=NOW)
        assert [item.fingerprint for item in promises.next_due(2, now=NOW)] == [
            b"0",
            b"1",
        ]
        over = DUE + KEEP_AFTER + timedelta(seconds=2.5)
        assert len(promises.next_due(9, now=over)) == 2
        assert len(promises.pop_own()) == 5
        assert promises.pop_own() == []

    # Guards against state that grows with the number of refused callers.
    def test_their_number_is_bounded(self):
        promises = Promises()
        for number in range(3 * MAX_PROMISES):
            promises.add(make_promise(b"%d" % number), now=NOW)
        assert len(promises.next_due(9 * MAX_PROMISES, now=NOW)) == MAX_PROMISES
        assert len(promises.pop_own()) == MAX_PROMISES


class TestManyHosts:
    # Guards against a caller that is new again where it returns at another host.
    def test_all_hosts_of_the_failure_domain_know_a_promise_soon(self):
        async def test() -> None:
            fleet = start_fleet(80, 3)
            await asyncio.sleep(CONVERGES_WITHIN)
            now = fleet.gossip.clock.monotonic()
            due_at = now + timedelta(seconds=CONVERGES_WITHIN)
            first = fleet.exchanges_by_host["front-0003"]
            first._promises.add(make_promise(due_at=due_at), now=now)
            await asyncio.sleep(CONVERGES_WITHIN)
            for row in fleet.gossip.rows:
                known = fleet.exchanges_by_host[row.host_id]._promises
                is_near = row.failure_domain == "d0"
                assert known.is_due(b"f", now=due_at) == is_near

        run_virtually(test())
