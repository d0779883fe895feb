"""Translates the platform's settings file into the product's settings."""

import hashlib
import os
from collections.abc import Mapping
from pathlib import Path

from passtally.decision import log_event
from passtally.platform.settings_file import FRONT_KEY, parse_lines, read_text
from passtally.settings import (
    Settings,
    SettingsError,
    check_settings,
    parse_address,
    variable_of,
)

#: Port of a host's metrics; deploy/system.toml names the same one.
METRICS_PORT = 8750

#: Time that a stopping host still accepts requests. The balancer checks once a second
#: and stops sending after two answers; the part of a third second covers checks that
#: are already under way.
BALANCER_LAG = "2500ms"

#: Share of a host's memory for the bodies of requests. While a request runs, its body
#: is held a second time for a moment, and parts of others are on their way.
BODIES_SHARE = 0.25

#: The entry of the platform's ``contracts`` where callers compete for too little room.
SCARCE_ROOM = "pressure"

#: The product's settings and the platform's keys that they are read from. The platform
#: calls a host a "node", the address for callers "front", and the address for other
#: hosts "control".
_KEYS_BY_SETTING = {
    "host_id": "node_name",
    "region": "region",
    "failure_domain": "zone",
    "listen": FRONT_KEY,
    "peer_listen": "listen.control",
    "ready_listen": "listen.ready",
    "seeds": "seeds",
    "retry_share": "bounds.retry_budget_ratio",
    "retry_extra": "bounds.budget_extra",
    "trial_share": "bounds.exposure_share",
    "trial_extra": "bounds.exposure_slack",
}

#: Prefixes of the platform's keys that have a default.
_PREFIXES_WITH_DEFAULTS = ("bounds.", "region", "heartbeat_ms")


def read_settings(path: Path) -> Settings:
    """Read and check a settings file.

    Operators may set the keys for messages between hosts in the environment, as the
    product's setting ``resume_keys``.

    Raises:
        SettingsError: Some settings are missing or can't be used; all are named.
        OSError: The file can't be read.
    """
    return translate_text(read_text(path))


def translate_text(text: str) -> Settings:
    """Turn the text of a settings file into settings; see :func:`read_settings`.

    Raises:
        SettingsError: Some settings are missing or can't be used; all are named.
    """
    keys = os.environ.get(variable_of("resume_keys"), "")
    return translate(parse_lines(text), resume_keys=keys)


def translate(values_by_key: Mapping[str, str], *, resume_keys: str = "") -> Settings:
    """Turn the platform's values into settings.

    Args:
        values_by_key: The platform's values.
        resume_keys: The keys for messages between hosts; derived if empty.

    Raises:
        SettingsError: Some are missing or can't be used; all are named.
    """
    values_by_key = _drop_empty(values_by_key)
    texts = {
        name: values_by_key.get(key, None) for name, key in _KEYS_BY_SETTING.items()
    }
    # Without an address this has to fail: the platform sends no callers to the
    # product's default.
    texts["listen"] = texts["listen"] or ""
    texts["seeds"] = _pick_addresses(values_by_key.get("seeds", ""))
    store = values_by_key.get("platform.address")
    texts["platform"] = None if store is None else f"http://{store}"
    ip = values_by_key.get("ip", "")
    texts["metrics_listen"] = f"{ip}:{METRICS_PORT}" if ip else ""
    texts["tunnel_listen"] = _pick_tunnel_address(ip, values_by_key)
    texts["grace"] = values_by_key.get("bounds.grace_s", "8") + "s"
    texts["retry_window"] = values_by_key.get("bounds.budget_window_s", "10") + "s"
    texts["apply_within"] = values_by_key.get("bounds.config_apply_ms", "2000") + "ms"
    texts["address_reuse_after"] = values_by_key.get("bounds.reuse_after_s", "0") + "s"
    texts["endpoint_heartbeat"] = values_by_key.get("heartbeat_ms", "0") + "ms"
    texts["balancer_lag"] = BALANCER_LAG
    texts["max_bodies"] = _pick_max_bodies(values_by_key.get("limits.memory_mb", ""))
    is_first = values_by_key.get("bootstrap") == "true"
    texts["first_start"] = "true" if is_first else "false"
    contracts = values_by_key.get("contracts", "").split(",")
    texts["shared_admission"] = "on" if SCARCE_ROOM in contracts else "auto"
    texts["resume_keys"] = resume_keys or f"platform:{_derive_key(values_by_key)}"
    try:
        return check_settings(texts)
    except SettingsError as error:
        raise _name_keys(error) from error


def _drop_empty(values_by_key: Mapping[str, str]) -> dict[str, str]:
    """Drop empty values that have a default: the platform may not know a value."""
    return {
        key: value
        for key, value in values_by_key.items()
        if value or not key.startswith(_PREFIXES_WITH_DEFAULTS)
    }


def _pick_addresses(text: str) -> str:
    """Drop seeds that are no address: stale ones must not keep a host from starting."""
    picked: list[str] = []
    for item in text.split(","):
        if not item.strip():
            continue
        try:
            picked.append(str(parse_address(item.strip())))
        except ValueError as error:
            log_event("daemon", "Skipped an invalid seed.", seed=item, why=error)
    return ",".join(picked)


def _pick_max_bodies(memory: str) -> str | None:
    """Return the limit on all request bodies, or None if the memory is not known.

    Args:
        memory: The memory of the host, in MB.
    """
    try:
        limit = int(float(memory) * 1_000_000 * BODIES_SHARE)
    except (ValueError, OverflowError):
        limit = 0
    if limit > 0:
        return str(limit)
    if memory:
        log_event("daemon", "Skipped an invalid memory limit.", memory=memory)
    return None


def _pick_tunnel_address(ip: str, values_by_key: Mapping[str, str]) -> str:
    """Return the first of the ports that are free for messages between hosts."""
    port = values_by_key.get("port_range", "").partition(",")[0].strip()
    return f"{ip}:{port}" if ip and port else ""


def _derive_key(values_by_key: Mapping[str, str]) -> str:
    """Derive a key that is shared by the hosts of one installation only.

    The platform provides no secret. The key keeps hosts from accepting messages of
    another installation at a reused address; it is no defence against an attacker.
    """
    shared = sorted(
        f"{key}={value}"
        for key, value in values_by_key.items()
        if key.startswith(("zones.", "platform.address"))
    )
    return hashlib.blake2b("\n".join(shared).encode(), digest_size=16).hexdigest()


def _name_keys(error: SettingsError) -> SettingsError:
    """Return the error with the settings file's keys in place of the flags."""
    keys_by_flag = {
        "--" + name.replace("_", "-"): key for name, key in _KEYS_BY_SETTING.items()
    }
    return SettingsError(
        {
            keys_by_flag.get(flag, flag): problem
            for flag, problem in error.problems_by_flag.items()
        }
    )
