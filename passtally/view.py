"""What a host knows of the objects under one prefix."""

import asyncio
from collections.abc import Callable, Sequence
from datetime import timedelta

import attrs

from passtally.follower import Follower
from passtally.mirror import ObjectMirror
from passtally.object_store import StoredObject


@attrs.define(kw_only=True)
class View:
    """What this host knows of the objects under one prefix.

    Attributes:
        prefix: The prefix.
        apply: Called with the objects that changed.
        mirror: The objects.
        follower: Follows them at the platform while this host watches.
        task: The follower's run while this host watches, its first listing before.
        behind_since: Since when a newer version is known elsewhere.
        is_vital: Whether each host lists it when it starts, and counts as watching only
            while this watch is up. What changes a few times a day need not be asked for
            by each host: it learns of that from those that watch.
    """

    prefix: str
    apply: Callable[[Sequence[StoredObject]], None]
    mirror: ObjectMirror = attrs.field(factory=ObjectMirror)
    follower: Follower | None = None
    task: asyncio.Task[None] | None = None
    behind_since: timedelta | None = None
    is_vital: bool = True
