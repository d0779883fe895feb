"""The priority of a request: who goes first where requests compete."""

import attrs

#: Rank of requests for which nothing states a priority.
DEFAULT_RANK = 1
#: Number of ranks at the engines for each rank here: resumed answers, then urgent
#: routes, then all other requests.
ENGINE_RANKS = 3


@attrs.frozen(kw_only=True, order=True)
class Priority:
    """The priority of a request; the more urgent one of two sorts first.

    Attributes:
        rank: The rank, from 0, the most urgent: that of the workspace if it has one,
            else that of the route.
        route_rank: The rank of the route, which decides between equal ones.
    """

    rank: int = DEFAULT_RANK
    route_rank: int = DEFAULT_RANK

    def engine_rank(self, *, is_resumed: bool) -> int:
        """Return the rank at the engines, of which lower ones run first.

        An answer that is resumed goes before new ones of its rank, since its caller
        has waited already, but not before those of a more urgent rank.
        """
        offset = 0 if is_resumed else 1 + min(max(self.route_rank, 0), 1)
        return ENGINE_RANKS * self.rank + offset
