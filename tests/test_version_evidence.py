"""Evidence of two versions: the counts of all hosts, and verdicts on them.

Guards against answers that are counted twice or lost when evidence is gossiped, and
against wrong verdicts on a new version.
"""

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passtally.messages import AnswerCounts, HostEvidence
from passtally.version_evidence import EvidenceTable, bucket_of
from passtally.version_judge import VersionJudge

ROUTES = ("r1", "r2")


def make_table(host_id: str = "h0", life: int = 1) -> EvidenceTable:
    return EvidenceTable(order_id="o", host_id=host_id, life=life)


def count(target: EvidenceTable, endpoint: str, answers: int, failures: int, **more):
    for route in more.get("routes", ROUTES):
        for number in range(answers):
            target.count(
                route=route,
                endpoint_id=endpoint,
                answers=1,
                failures=int(number < failures),
                took=more.get("took", timedelta(milliseconds=50)),
            )


class TestEvidenceTable:
    def test_counts_of_all_hosts_add_up(self):
        local, other = make_table("h0"), make_table("h1")
        count(local, "", 3, 1)
        count(other, "", 2, 0)
        local.merge(other.local)
        tally = local.sum_up().baseline_by_route["r1"]
        assert (tally.answers, tally.failures, tally.times.total()) == (5, 1, 5)

    def test_counts_of_a_restarted_host_are_added_to_its_earlier_ones(self):
        local, before, after = (
            make_table("h0"),
            make_table("h1", life=1),
            make_table("h1", life=2),
        )
        count(before, "e", 2, 0)
        count(after, "e", 1, 0)
        local.merge(after.local)
        local.merge(before.local)
        assert local.sum_up().tried_by_route["r1"]["e"].answers == 3
        assert local.newest_of("h1").life == 2

    def test_forwarded_counts_of_this_host_are_ignored(self):
        local = make_table()
        count(local, "e", 2, 0)
        assert not local.merge(local.local)

    @settings(deadline=None, derandomize=True)
    @given(st.randoms(use_true_random=False), st.integers(1, 4))
    def test_updates_may_arrive_twice_late_and_in_any_order(self, rng, hosts):
        others = [make_table(f"h{number + 1}") for number in range(hosts)]
        updates: list[HostEvidence] = []
        for _ in range(20):
            other = rng.choice(others)
            count(other, rng.choice(["", "e1", "e2"]), 1, rng.randint(0, 1))
            updates.append(other.local)
        local = make_table()
        for evidence in rng.sample(updates + updates, 2 * len(updates)):
            local.merge(evidence)
        expected = make_table()
        for other in others:
            expected.merge(other.local)
        assert local.sum_up() == expected.sum_up()

    @pytest.mark.parametrize(("ms", "bucket"), [(0, 0), (1, 0), (2, 2), (50, 11)])
    def test_times_are_counted_by_half_octaves(self, ms, bucket):
        assert bucket_of(timedelta(milliseconds=ms)) == bucket


class TestJudge:
    judge = VersionJudge()

    def table(self, failures: int = 2) -> EvidenceTable:
        table = make_table()
        count(table, "", 200, failures)
        return table

    def test_without_answers_a_version_is_undecided(self):
        verdict = self.judge.judge(make_table().sum_up())
        assert not verdict.is_bad
        assert not verdict.is_good

    def test_a_version_that_fails_is_bad(self):
        table = self.table()
        count(table, "e1", 4, 3)
        count(table, "e2", 4, 3)
        verdict = self.judge.judge(table.sum_up())
        assert verdict.is_bad
        assert "failures" in verdict.reason

    def test_one_that_takes_three_times_as_long_is_bad(self):
        table = self.table()
        for name in ("e1", "e2", "e3"):
            count(table, name, 6, 0, took=timedelta(milliseconds=160))
        verdict = self.judge.judge(table.sum_up())
        assert verdict.is_bad
        assert "slow" in verdict.reason

    def test_general_load_after_the_move_is_not_its_fault(self):
        """Guards against the rollback of a good version that runs alone under load.

        After the move the old version answers no requests. Answers under the present
        load were compared with its answers in calmer seconds, so that any load on the
        machine counted against the new version. test_rollouts_on_platform then rolled
        back a good version, with `slow answers: 32 of 93` as the reason: in 10 of 42
        runs beside bursts of busy processes, after `Completing.` or, with few trials,
        before. With the higher threshold it did so in none of 39.
        """
        table = self.table()
        for name in ("e1", "e2", "e3"):
            count(table, name, 12, 0, took=timedelta(milliseconds=85))
        assert not self.judge.judge(table.sum_up(), has_moved=True).is_bad

    def test_one_that_is_several_times_as_slow_is_bad_after_the_move_too(self):
        table = self.table()
        for name in ("e1", "e2", "e3"):
            count(table, name, 6, 0, took=timedelta(milliseconds=200))
        assert self.judge.judge(table.sum_up(), has_moved=True).is_bad

    def test_one_that_fails_on_one_route_only_is_bad(self):
        table = self.table()
        for name in ("e1", "e2", "e3"):
            count(table, name, 5, 4, routes=("r1",))
            count(table, name, 20, 0, routes=("r2",))
        assert self.judge.judge(table.sum_up()).is_bad

    def test_a_single_faulty_endpoint_does_not_make_the_version_bad(self):
        table = self.table()
        count(table, "e1", 10, 6)
        count(table, "e2", 10, 0)
        count(table, "e3", 10, 0)
        assert not self.judge.judge(table.sum_up()).is_bad

    def test_failures_of_both_versions_do_not_make_the_new_one_bad(self):
        table = self.table(failures=80)
        for name in ("e1", "e2", "e3"):
            count(table, name, 10, 4)
        assert not self.judge.judge(table.sum_up()).is_bad

    def test_one_that_answers_as_before_is_good(self):
        table = self.table()
        for name in ("e1", "e2", "e3"):
            count(table, name, 10, 0)
        assert self.judge.judge(table.sum_up()).is_good

    def test_a_version_with_an_untried_route_is_not_good(self):
        table = self.table()
        for name in ("e1", "e2", "e3"):
            count(table, name, 20, 0, routes=("r1",))
        assert not self.judge.judge(table.sum_up()).is_good

    def test_one_that_turns_bad_late_is_found_by_recent_answers(self):
        table = self.table()
        for name in ("e1", "e2", "e3"):
            count(table, name, 60, 0)
        earlier = table.sum_up()
        count(table, "", 30, 0)
        for name in ("e1", "e2", "e3"):
            count(table, name, 4, 3)
        now = table.sum_up()
        assert not self.judge.judge(now).is_bad
        assert self.judge.judge(now, [earlier]).is_bad

    def test_too_few_answers_of_the_old_version_decide_nothing(self):
        table = make_table()
        count(table, "", 5, 0)
        count(table, "e1", 10, 9)
        assert not self.judge.judge(table.sum_up()).is_bad


class TestMessage:
    def test_published_counts_are_complete(self):
        table = make_table()
        count(table, "e1", 2, 1)
        assert table.local.counts[0] == AnswerCounts(
            route="r1", endpoint_id="e1", answers=2, failures=1, times={11: 2}
        )
