"""The progress of one call to a plain service, over all its sends."""

import attrs

from passtally.hedge import Hedge

#: Failed connects after which a call is refused. Each costs 150 ms, and nothing has
#: been sent. A host with a saturated link, which fails to connect to some of five
#: endpoints, has most likely reached another by then. A host that is cut off reaches
#: none.
MAX_CONNECT_FAILURES = 4


@attrs.define(kw_only=True)
class CallProgress:
    """The remaining limits of one call, and the endpoints that it has tried.

    Attributes:
        sends_left: The number of endpoints the call may still be sent to.
        connect_failures_left: The number of failed connects after which it is refused.
        excluded: The ids of the endpoints that failed the call.
        has_retry: Whether the retry for the next send has been acquired already.
        needs_new_connection: Whether further sends use new connections.
        hedge: The second copy of the call.
    """

    sends_left: int
    connect_failures_left: int = MAX_CONNECT_FAILURES
    excluded: set[str] = attrs.field(factory=set)
    has_retry: bool = False
    needs_new_connection: bool = False
    hedge: Hedge = attrs.field(factory=Hedge)
