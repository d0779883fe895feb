"""Lets repeats be a share of the requests, so that they can't pile up. Pure."""

import attrs

SHARE = 0.1
MOST = 20.0


@attrs.define(kw_only=True)
class RetryBudget:
    """The repeats that one workspace or failure domain may still make.

    Attributes:
        share: How many repeats each request earns.
        most: How many can be saved up.
        saved: How many may be spent now.
    """

    share: float = SHARE
    most: float = MOST
    saved: float = MOST

    def earn(self) -> None:
        """Count one request."""
        self.saved = min(self.most, self.saved + self.share)

    def has_one(self) -> bool:
        """Return whether a repeat is left."""
        return self.saved >= 1

    def spend(self) -> None:
        """Take one repeat."""
        self.saved -= 1


class RetryBudgets:
    """The budgets of all workspaces, and one of the host's failure domain."""

    def __init__(self) -> None:
        self._domain = RetryBudget(most=10 * MOST, saved=10 * MOST)
        self._by_workspace: dict[str, RetryBudget] = {}

    def earn(self, workspace: str) -> None:
        """Count one request."""
        self._domain.earn()
        self._by_workspace.setdefault(workspace, RetryBudget()).earn()

    def try_spend(self, workspace: str) -> bool:
        """Take one repeat, if both its workspace and the domain have one left."""
        own = self._by_workspace.setdefault(workspace, RetryBudget())
        if not (own.has_one() and self._domain.has_one()):
            return False
        own.spend()
        self._domain.spend()
        return True
