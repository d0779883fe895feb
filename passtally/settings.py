"""Settings of the daemon: flags and environment variables, checked at its start."""

import math
from collections.abc import Callable, Mapping
from datetime import timedelta
from enum import StrEnum
from ipaddress import ip_address
from typing import Any
from urllib.parse import urlsplit

import attrs

ENV_PREFIX = "PASSTALLY_"
MIN_KEY_CHARACTERS = 16
#: Maximum of any duration that is read. A longer one can't be added to a time.
MAX_DURATION = timedelta(days=36_500)

_SUFFIX_SECONDS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}


class SettingsError(ValueError):
    """Raised for missing or invalid settings.

    Args:
        problems_by_flag: The problem of each such setting, by its flag.
    """

    def __init__(self, problems_by_flag: Mapping[str, str]) -> None:
        self.problems_by_flag = dict(problems_by_flag)
        lines = (f"{flag}: {text}" for flag, text in problems_by_flag.items())
        super().__init__("; ".join(lines))


@attrs.frozen(kw_only=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen(kw_only=True)
class PeerAddress:
    """A peer's name, failure domain and address."""

    host_id: str
    failure_domain: str
    address: Address


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT``; host names are refused."""
    host, _, port = text.rpartition(":")
    try:
        ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise ValueError(f"{text!r} is not IP:PORT") from None
    if not 0 <= number < 65536:
        raise ValueError(f"port {number} is not from 0 to 65535")
    return Address(host=host.strip("[]"), port=number)


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parse ``IP:PORT,IP:PORT``; empty for none."""
    return tuple(parse_address(item) for item in text.split(",") if item)


def parse_optional_address(text: str) -> Address | None:
    """Parse ``IP:PORT``; empty for none."""
    return parse_address(text) if text else None


def parse_duration(text: str) -> timedelta:
    """Parse a duration such as ``250ms``, ``2s``, ``5m`` or ``1h``.

    Raises:
        ValueError: The text is not a duration, or one longer than ``MAX_DURATION``.
    """
    for suffix in ("ms", "s", "m", "h"):
        number = text.removesuffix(suffix)
        if number != text and number.replace(".", "", 1).isdigit():
            seconds = float(number) * _SUFFIX_SECONDS[suffix]
            if seconds > MAX_DURATION.total_seconds():
                raise ValueError(f"{text!r} is longer than {MAX_DURATION.days} days")
            return timedelta(seconds=seconds)
    raise ValueError(f"{text!r} is not a duration such as 250ms, 2s or 5m")


def parse_name(text: str) -> str:
    """Parse a name of letters, digits, dots, dashes and underscores."""
    if (
        not text
        or not text.replace("-", "").replace("_", "").replace(".", "").isalnum()
    ):
        raise ValueError(
            f"{text!r} is not a name of letters, digits, dots, dashes and underscores"
        )
    return text


def parse_url(text: str) -> str:
    """Parse an ``http://`` URL."""
    parts = urlsplit(text)
    if parts.scheme != "http" or not parts.netloc:
        raise ValueError(f"{text!r} is not an http:// URL")
    return text.rstrip("/")


def parse_keys(text: str) -> dict[str, bytes]:
    """Parse ``ID:SECRET,ID:SECRET``; the first key signs."""
    keys_by_id: dict[str, bytes] = {}
    for item in text.split(","):
        key_id, _, secret = item.partition(":")
        parse_name(key_id)
        if len(secret) < MIN_KEY_CHARACTERS:
            raise ValueError(
                f"key {key_id!r} is shorter than {MIN_KEY_CHARACTERS} characters"
            )
        keys_by_id[key_id] = secret.encode()
    return keys_by_id


def parse_peers(text: str) -> dict[str, "PeerAddress"]:
    """Parse ``HOST@FAILURE-DOMAIN=IP:PORT,...``; empty for none."""
    if not text:
        return {}
    peers = [_parse_peer(item) for item in text.split(",")]
    return {peer.host_id: peer for peer in peers}


def _parse_peer(item: str) -> "PeerAddress":
    place, _, address = item.partition("=")
    host_id, _, failure_domain = place.partition("@")
    return PeerAddress(
        host_id=parse_name(host_id),
        failure_domain=parse_name(failure_domain),
        address=parse_address(address),
    )


def parse_count(text: str) -> int:
    """Parse a positive integer."""
    if not text.isdigit() or int(text) == 0:
        raise ValueError(f"{text!r} is not a positive integer")
    return int(text)


def parse_amount(text: str) -> float:
    """Parse a non-negative number."""
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if not 0 <= number < math.inf:
        raise ValueError(f"{text!r} is not a non-negative number")
    return number


def parse_share(text: str) -> float:
    """Parse a number from 0 to 10."""
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if not 0 <= number <= 10:
        raise ValueError(f"{text!r} is not a number from 0 to 10")
    return number


class Switch(StrEnum):
    """For which services a part of the system is in use."""

    #: Those whose configuration or endpoints call for it.
    AUTO = "auto"
    #: All that allow it.
    ON = "on"
    #: None.
    OFF = "off"


def parse_switch(text: str) -> Switch:
    """Parse ``auto``, ``on`` or ``off``."""
    try:
        return Switch(text)
    except ValueError:
        raise ValueError(f"{text!r} is not one of auto, on and off") from None


def parse_flag(text: str) -> bool:
    """Parse ``true`` or ``false``."""
    if text not in ("true", "false"):
        raise ValueError(f"{text!r} is not one of true and false")
    return text == "true"


def parse_path_or_dash(text: str) -> str:
    """Parse a file's path, or ``-`` for standard output."""
    if not text:
        raise ValueError("must not be empty")
    return text


def _setting(
    parse: Callable[[str], Any], help_text: str, default: str | None = None
) -> Any:
    return attrs.field(metadata={"parse": parse, "help": help_text, "default": default})


@attrs.frozen(kw_only=True)
class Settings:
    """The checked settings of a daemon. Their help texts appear in docs/."""

    host_id: str = _setting(parse_name, "The name of this host.")
    region: str = _setting(parse_name, "The region of this host.", "local")
    failure_domain: str = _setting(parse_name, "The failure domain of this host.")
    listen: Address = _setting(
        parse_address, "The address for callers and operators.", "127.0.0.1:8080"
    )
    peer_listen: Address = _setting(
        parse_address, "The address for peers.", "127.0.0.1:8081"
    )
    tunnel_listen: Address | None = _setting(
        parse_optional_address,
        "The address at which other hosts that lost their links to endpoints open"
        " connections to these through this host; empty for none.",
        "",
    )
    peers: dict[str, PeerAddress] = _setting(
        parse_peers, "The peers of this host, as HOST@FAILURE-DOMAIN=IP:PORT,...", ""
    )
    platform: str = _setting(parse_url, "The URL of the platform's object API.")
    resume_keys: dict[str, bytes] = _setting(
        parse_keys, "Keys for resume handles, as ID:SECRET,...; the first one signs."
    )
    operator_token: str = _setting(
        str, "The operators' token; empty disables the operators' API.", ""
    )
    max_body: int = _setting(
        parse_count, "The maximum size of a request body, in bytes.", "4194304"
    )
    max_streams: int = _setting(
        parse_count, "The maximum number of concurrent requests on this host.", "2000"
    )
    claim_shards: int = _setting(
        parse_count, "The number of claim logs; the same on all hosts.", "8"
    )
    claim_retention: timedelta = _setting(
        parse_duration,
        "The time for which a claimed idempotency key is remembered.",
        "1h",
    )
    linger: timedelta = _setting(
        parse_duration,
        "The time for which a stream without a caller stays open at its engine.",
        "2s",
    )
    balancer_lag: timedelta = _setting(
        parse_duration,
        "The time for which a stopping host still accepts new requests.",
        "5s",
    )
    log: str = _setting(
        parse_path_or_dash, "The log file, or - for standard output.", "-"
    )
    ready_listen: Address | None = _setting(
        parse_optional_address,
        "The address for a balancer's readiness checks; empty for /readyz at the"
        " address of the API.",
        "",
    )
    metrics_listen: Address | None = _setting(
        parse_optional_address,
        "The address at which metrics are served as text; empty for none.",
        "",
    )
    grace: timedelta = _setting(
        parse_duration,
        "The time that a stop may take before the process is killed.",
        "8s",
    )
    seeds: tuple[Address, ...] = _setting(
        parse_addresses,
        "Addresses at which other hosts may be reachable, as IP:PORT,...",
        "",
    )
    retry_share: float = _setting(
        parse_share,
        "The number of retries that each request adds to its service's retry budget.",
        "0.1",
    )
    retry_extra: float = _setting(
        parse_amount,
        "The number of further retries that all hosts together may make.",
        "200",
    )
    retry_window: timedelta = _setting(
        parse_duration,
        "The window in which retries are counted against requests.",
        "10s",
    )
    trial_share: float = _setting(
        parse_share,
        "The share of a service's requests that may go to a new version before it is"
        " judged good; 0 if new versions are not tried.",
        "0",
    )
    trial_extra: float = _setting(
        parse_amount,
        "The number of further requests that all hosts together may send to a new"
        " version before it is judged good.",
        "50",
    )
    apply_within: timedelta = _setting(
        parse_duration,
        "The time within which a change of configuration must be in force.",
        "2s",
    )
    shared_admission: Switch = _setting(
        parse_switch,
        "The services whose engines' memory all hosts share out by priority and"
        " workspace: auto for those where priorities compete, on for all, off for"
        " none.",
        "auto",
    )
    first_start: bool = _setting(
        parse_flag,
        "Whether the whole system starts for the first time, so that no answer is older"
        " than its hosts: true or false.",
        "false",
    )
    endpoint_heartbeat: timedelta = _setting(
        parse_duration,
        "The interval in which endpoints write their entries in the store; 0 if it is"
        " not known.",
        "0s",
    )
    address_reuse_after: timedelta = _setting(
        parse_duration,
        "The time after the end of an endpoint from which on an endpoint of another"
        " service may have its address; 0 if it is not known.",
        "0s",
    )
    hedging: Switch = _setting(
        parse_switch,
        "The services whose slow calls get a second copy at an idle endpoint, if they"
        " may run more than once: auto for those whose endpoints report their load, on"
        " for all, off for none.",
        "auto",
    )
    avoid_slow: Switch = _setting(
        parse_switch,
        "The services whose calls go past endpoints that take a multiple of the usual"
        " time: auto for those whose endpoints report their load, on for all, off for"
        " none.",
        "auto",
    )
    max_bodies: int = _setting(
        parse_count,
        "The maximum size of all request bodies that the host holds, in bytes; further"
        " requests are refused.",
        "268435456",
    )
    max_answers: int = _setting(
        parse_count,
        "The maximum size of all answers to calls that the host is reading, in bytes;"
        " those that grow beyond it are given up. The first 64 KB of each do not"
        " count.",
        "25165824",
    )
    max_unread: int = _setting(
        parse_count,
        "The output of a stream, in bytes, that is kept for a caller that reads slowly;"
        " beyond it the endpoint waits.",
        "1048576",
    )
    max_unread_total: int = _setting(
        parse_count,
        "The output that all callers of the host may leave unread, in bytes; beyond it"
        " the streams with most unread output are aborted.",
        "33554432",
    )
    unread_timeout: timedelta = _setting(
        parse_duration,
        "The time after which a stream is aborted if its endpoint waits and its caller"
        " has read nothing.",
        "30s",
    )
    statsd: Address | None = _setting(
        parse_optional_address,
        "The address to which metrics are sent by statsd, as IP:PORT; empty for none.",
        "",
    )


def flag_of(name: str) -> str:
    """Return the command line flag of a setting."""
    return "--" + name.replace("_", "-")


def variable_of(name: str) -> str:
    """Return the environment variable of a setting."""
    return ENV_PREFIX + name.upper()


def check_settings(texts_by_name: Mapping[str, str | None]) -> Settings:
    """Parse the texts of all settings, with defaults for those that are None.

    Raises:
        SettingsError: Settings are missing or invalid; it names each of them.
    """
    values: dict[str, Any] = {}
    problems_by_flag: dict[str, str] = {}
    for field in attrs.fields(Settings):
        text = texts_by_name.get(field.name)
        if text is None:
            text = field.metadata["default"]
        if text is None:
            problem = f"is missing (set this flag or {variable_of(field.name)})"
            problems_by_flag[flag_of(field.name)] = problem
            continue
        try:
            values[field.name] = field.metadata["parse"](text)
        except ValueError as error:
            problems_by_flag[flag_of(field.name)] = str(error)
    if problems_by_flag:
        raise SettingsError(problems_by_flag)
    return Settings(**values)
