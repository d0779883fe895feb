"""Where an answer began, and the endpoints at which it may go on.

What two versions of an endpoint's software generate can't be joined to one answer, and
endpoints do not check this. An answer therefore goes on only at the software version of
the endpoint that sent its first output.
"""

import attrs

from passtally.objects import Endpoint, EndpointStart
from passtally.service_index import ServiceIndex


@attrs.frozen(kw_only=True)
class Origin:
    """What sent the first output of an answer.

    It is kept with the answer, since the endpoint's entry may be gone, and its address
    another endpoint's, by the time the answer has to go on.

    Attributes:
        software: The version of the endpoint's software at that time; empty if its
            entry states none, or is not known yet.
        start: The start of the endpoint; None if only the version is known.
    """

    software: str
    start: EndpointStart | None = None

    def agrees_with(self, other: "Origin") -> bool:
        """Return whether both may be the same, as far as they are known."""
        if self.software and other.software:
            return self.software == other.software
        return self.start is None or other.start is None or self.start == other.start

    @classmethod
    def of(cls, endpoint: Endpoint) -> "Origin":
        """Return the origin of an answer that begins at an endpoint now."""
        return cls(software=endpoint.software, start=endpoint.start)


@attrs.frozen(kw_only=True)
class KnownAnswer:
    """What is known of an answer that a caller takes up.

    Attributes:
        origin: Its origin.
        holder_id: The endpoint that ran it last, whose memory may have its prompt;
            empty if unknown.
    """

    origin: Origin
    holder_id: str = ""


class OriginRule:
    """Decides at which endpoints an answer that has begun may go on. Pure.

    Args:
        catalog: The endpoints.
    """

    def __init__(self, *, catalog: ServiceIndex) -> None:
        self._catalog = catalog

    def allows(self, origin: Origin, endpoint: Endpoint) -> bool:
        """Return whether an answer may go on at an endpoint of its service.

        Endpoints that state no version are the same only if none of the service states
        one: an operator may not use versions at all.
        """
        software = self.software_of(origin)
        if software and endpoint.software:
            return software == endpoint.software
        if origin.start is not None and origin.start.may_equal(endpoint.start):
            return True
        return not software and not self._uses_versions(endpoint.service)

    def software_of(self, origin: Origin) -> str:
        """Return the version of an answer, or empty if it is not known.

        The entry of an endpoint may arrive only after the endpoint began an answer.
        """
        if origin.software or origin.start is None:
            return origin.software
        entry = self._catalog.endpoints_by_id.get(origin.start.endpoint_id)
        is_same = entry is not None and origin.start.may_equal(entry.start)
        return entry.software if is_same else ""

    def _uses_versions(self, service_id: str) -> bool:
        return any(
            endpoint.software for endpoint in self._catalog.endpoints_of(service_id)
        )
