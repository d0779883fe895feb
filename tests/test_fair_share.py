"""Max-min shares of a scarce amount."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passtally.fair_share import Demand, max_min_level


def shares(demands: list[Demand], amount: float) -> list[float]:
    level = max_min_level(demands, amount)
    if level is None:
        return [demand.amount for demand in demands]
    return [min(demand.amount, level * demand.weight) for demand in demands]


class TestMaxMinLevel:
    def test_demands_that_fit_are_not_cut(self):
        assert max_min_level([Demand(amount=3), Demand(amount=4)], 7) is None

    # Guards against a flood that takes the room of those who want little.
    def test_a_flood_gets_what_small_demands_leave(self):
        demands = [Demand(amount=100), Demand(amount=2), Demand(amount=1)]
        assert shares(demands, 12) == [9, 2, 1]

    def test_weights_divide_the_scarce_amount(self):
        demands = [Demand(amount=100, weight=3), Demand(amount=100)]
        assert shares(demands, 40) == [30, 10]

    @pytest.mark.parametrize("amount", [0, -5])
    def test_nothing_is_shared_if_nothing_is_left(self, amount):
        assert max_min_level([Demand(amount=1)], amount) == 0

    # Guards against a share that rises when its owner demands more.
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.lists(st.integers(1, 100), min_size=1, max_size=8),
        st.integers(1, 300),
        st.integers(1, 100),
    )
    def test_the_amount_is_used_up_and_demanding_more_gains_nothing(
        self, amounts, amount, more
    ):
        demands = [Demand(amount=value) for value in amounts]
        got = shares(demands, amount)
        assert sum(got) == pytest.approx(min(sum(amounts), amount))
        level = max_min_level(demands, amount)
        if level is not None and amounts[0] > level:
            demands[0] = Demand(amount=amounts[0] + more)
            assert shares(demands, amount)[0] == pytest.approx(got[0])
