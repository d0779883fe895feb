"""A question to other hosts where an answer began and ran, and their replies."""

import asyncio
from collections.abc import Sequence
from functools import lru_cache

import attrs

from passtally.messages import MemberRow, OriginFound
from passtally.origin_rows import from_origin_row
from passtally.settings import Address, parse_address

#: Number of addresses that are kept in parsed form.
MAX_CACHED_ADDRESSES = 2048

address_of = lru_cache(maxsize=MAX_CACHED_ADDRESSES)(parse_address)


@attrs.define(kw_only=True, eq=False)
class OriginQuestion:
    """A question to some hosts.

    Attributes:
        asked: The hosts.
        is_settled_by_one: Whether one host that knows the answer is enough.
        found_by_address: Their replies.
        is_settled: Set once no further reply is needed.
    """

    asked: Sequence[MemberRow]
    is_settled_by_one: bool
    found_by_address: dict[Address, OriginFound] = attrs.field(factory=dict)
    is_settled: asyncio.Event = attrs.field(factory=asyncio.Event)

    def add(self, sender: Address, found: OriginFound) -> None:
        """Record the reply of a host."""
        self.found_by_address[sender] = found
        is_enough = self.is_settled_by_one and found.row is not None
        if is_enough or len(self.found_by_address) >= len(self.asked):
            self.is_settled.set()

    def list_told(self) -> list[tuple[Address, OriginFound]]:
        """Return the answers that name an origin; none if they differ in it."""
        told = [
            (sender, found)
            for sender, found in self.found_by_address.items()
            if found.row is not None
        ]
        origins = [from_origin_row(found.row) for _, found in told]
        agree = all(origins[0].agrees_with(other) for other in origins[1:])
        return told if agree else []

    @property
    def is_contradictory(self) -> bool:
        """Whether hosts were told different versions for the same id."""
        is_told = any(found.row is not None for found in self.found_by_address.values())
        return is_told and not self.list_told()

    @property
    def holder_id(self) -> str:
        """The endpoint that was told last to run the answer; empty if unknown."""
        told = [
            found
            for found in self.found_by_address.values()
            if found.row is not None and found.row.holder_id
        ]
        newest = min(told, key=lambda found: found.age_ms, default=None)
        return "" if newest is None else newest.row.holder_id

    @property
    def answered_domains(self) -> set[str]:
        """The failure domains of the hosts that answered."""
        return {
            row.failure_domain
            for row in self.asked
            if address_of(row.address) in self.found_by_address
        }

    @property
    def unanswered(self) -> list[Address]:
        """The addresses of the hosts that have not replied."""
        addresses = (address_of(row.address) for row in self.asked)
        return [item for item in addresses if item not in self.found_by_address]
