"""Weighted max-min shares: what each of several demands gets of a scarce amount. Pure.

Demands below the common level are met in full; what they leave goes to the others, up
to the level. Nobody gains by demanding more than the level, and nothing is left unused.
"""

from collections.abc import Iterable

import attrs


@attrs.frozen(kw_only=True)
class Demand:
    """One of several demands for the same amount.

    Attributes:
        amount: The amount that is wanted.
        weight: The share relative to the others; more than 0.
    """

    amount: float
    weight: float = 1.0


def max_min_level(demands: Iterable[Demand], amount: float) -> float | None:
    """Return the level at which demands are cut, for a weight of 1.

    A demand gets its own amount or the level times its weight, whichever is less.

    Args:
        demands: The demands.
        amount: The amount that is shared.

    Returns:
        The level, or None if the amount meets all demands.
    """
    by_level = sorted(demands, key=lambda demand: demand.amount / demand.weight)
    left = max(amount, 0.0)
    weight = sum(demand.weight for demand in by_level)
    for demand in by_level:
        level = left / weight
        if demand.amount / demand.weight > level:
            return level
        left -= demand.amount
        weight -= demand.weight
    return None
