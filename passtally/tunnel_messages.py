"""The messages of a tunnel, a connection to an endpoint through another host.

They are encoded as arrays without field names. To stay compatible, new fields are only
added at the end, and with a default.
"""

from enum import StrEnum

import msgspec


class TunnelRefusal(StrEnum):
    """Why a host does not open a tunnel."""

    #: The host does not know the endpoint.
    UNKNOWN_ENDPOINT = "unknown_endpoint"
    #: The endpoint's address refuses connections.
    ENDPOINT_REFUSED = "endpoint_refused"
    #: The host can't connect to the endpoint in time.
    UNREACHABLE = "unreachable"
    #: The host has as many tunnels open as it accepts, or too little processor time.
    FULL = "full"
    #: The host stops.
    STOPPING = "stopping"


class OpenTunnel(msgspec.Struct, tag="open_tunnel", array_like=True):
    """The first message: a request for a connection to an endpoint.

    Attributes:
        tunnel_id: The tunnel's id in the logs of both hosts.
        host_id: The name of the requesting host.
        endpoint_id: The endpoint.
    """

    tunnel_id: str
    host_id: str
    endpoint_id: str


class TunnelOpened(msgspec.Struct, tag="tunnel_opened", array_like=True):
    """The answer that the host is connected to the endpoint; data may follow."""


class TunnelRefused(msgspec.Struct, tag="tunnel_refused", array_like=True):
    """The answer that no connection was made; nothing was sent to the endpoint.

    Attributes:
        reason: The value of a :class:`TunnelRefusal`.
        is_cut_off: Whether the answering host currently reaches no endpoint directly,
            so that its result says nothing about this endpoint.
    """

    reason: str
    is_cut_off: bool = False


class TunnelEnded(msgspec.Struct, tag="tunnel_ended", array_like=True):
    """The end of the endpoint's connection, after all its data.

    Without this message the tunnel itself was lost, not the endpoint's connection.

    Attributes:
        is_reset: Whether the connection was lost, instead of closed in order.
    """

    is_reset: bool


class TunnelClosing(msgspec.Struct, tag="tunnel_closing", array_like=True):
    """The notice that the host stops: no further request may use the tunnel."""


TunnelMessage = OpenTunnel | TunnelOpened | TunnelRefused | TunnelEnded | TunnelClosing
