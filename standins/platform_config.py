"""Configuration in the format that operators write, for tests and the soak."""

from typing import Any

KEY = "xd9dnn2ctnfzs989anu6"
WORKSPACE = "huka270"
ENGINE = "huvo11a"
LOOKUPS = "wuno96b"


def make_config(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with a stream route and two routes for calls.

    Args:
        version: Version number of the configuration.
        changes: Top-level fields that replace the defaults.
    """

    def route(name: str, prefix: str, kind: str, service: str, **fields: Any) -> dict:
        return {
            "name": name,
            "hostname": "shop.example",
            "path_prefix": prefix,
            "kind": kind,
            "timeout_ms": 5000,
            "target_latency_ms": 300,
            "priority": 1,
            "service": service,
            "max_attempts": 1,
            "public": False,
        } | fields

    return {
        "version": version,
        "routes": [
            route(
                "r-stream",
                "/draft/",
                "stream",
                ENGINE,
                resume_streams=True,
                max_attempts=5,
            ),
            route("r-safe", "/look/", "safe", LOOKUPS, max_attempts=2),
            route("r-unsafe", "/book/", "unsafe", LOOKUPS),
        ],
        "services": [
            {
                "name": ENGINE,
                "health_check_path": "/health",
                "max_connections": 100,
                "engine": {
                    "kv_capacity_tokens": 55000,
                    "backups": True,
                    "handle_s": 4.0,
                },
            },
            {
                "name": LOOKUPS,
                "health_check_path": "/health",
                "max_connections": 100,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": WORKSPACE, "api_keys": [KEY], "priority": 1}],
    } | changes
