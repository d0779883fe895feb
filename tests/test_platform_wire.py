"""Decoding by the platform adapter: settings, configuration, endpoints, requests."""

from datetime import timedelta
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passtally.http_exchange import HttpRequest
from passtally.objects import EndpointState
from passtally.platform import names
from passtally.platform.decode import (
    count_waiting_runs,
    decode_cached_parts,
    decode_copy_handle,
    decode_endpoint,
    decode_routes,
    encode_copy_order,
)
from passtally.platform.ingress import decode_request
from passtally.platform.settings import read_settings, translate
from passtally.platform.settings_file import parse_lines
from passtally.routes import CallKind
from passtally.settings import Address, SettingsError, Switch
from standins.platform_config import ENGINE, KEY, LOOKUPS, WORKSPACE, make_config

LINES = """\
node_name=front-pilar-1
zone=pilar
region=ba-norte
zones.pilar=ba-norte
ip=10.1.0.19
listen.front=10.1.0.19:8740
listen.ready=10.1.0.19:8749
listen.control=10.1.0.19:8748
seeds=10.1.0.19:8748,10.2.0.13:8748
bounds.grace_s=8
bounds.retry_budget_ratio=0.8
bounds.budget_extra=150
platform.address=10.200.1.7:8742
unknown.field=1
"""
OTHER_LINES = (
    LINES
    + """\
port_range=8750,8759
contracts=base
limits.memory_mb=300
bounds.budget_window_s=10
bounds.config_apply_ms=2000
bounds.exposure_share=0.1
bounds.exposure_slack=5
"""
)
ODD_TEXTS = [
    "-1",
    "nan",
    "inf",
    "1e300",
    "9" * 20,
    "9" * 400,
    "9" * 5000,
    "1.5.5",
    "\u00b2",
    "\u0663",
    "127.0.0.1:70000",
    "127.0.0.1:" + "9" * 5000,
    "[::1:80",
    "http://[",
]


class TestSettings:
    # Guards against a deployment without competing callers that is admitted anew.
    @pytest.mark.parametrize(
        ("contracts", "mode"),
        [
            ("base,tenants,platform", Switch.AUTO),
            ("base,pressure,platform", Switch.ON),
            ("", Switch.AUTO),
        ],
    )
    def test_competing_callers_switch_shared_admission_on(self, contracts, mode):
        values = parse_lines(LINES) | {"contracts": contracts}
        assert translate(values).shared_admission is mode

    # Guards against bodies that together take more than the memory of the host.
    def test_bodies_take_a_quarter_of_the_memory(self):
        settings = translate(parse_lines(LINES + "limits.memory_mb=300"))
        assert settings.max_bodies == 75_000_000

    @pytest.mark.parametrize("memory", ["", "much", "nan", "inf", "0", "-1"])
    def test_without_a_usable_memory_the_default_limit_holds(self, memory):
        settings = translate(parse_lines(f"{LINES}limits.memory_mb={memory}"))
        assert settings.max_bodies == translate(parse_lines(LINES)).max_bodies

    def test_the_file_is_translated_into_settings(self, tmp_path: Path):
        path = tmp_path / "node.conf"
        path.write_text(LINES)
        settings = read_settings(path)
        assert settings.host_id == "front-pilar-1"
        assert settings.failure_domain == "pilar"
        assert settings.listen == Address(host="10.1.0.19", port=8740)
        assert settings.platform == "http://10.200.1.7:8742"
        assert settings.grace == timedelta(seconds=8)
        assert settings.retry_extra == 150
        assert len(settings.seeds) == 2

    @pytest.mark.parametrize(
        "data",
        [
            b"\xef\xbb\xbf" + LINES.encode(),
            LINES.encode() + b"other.name=\xe9\n",
            LINES.encode() + b"\x00\xff\xfe",
            LINES.replace("\n", "\r\n").encode(),
        ],
        ids=["byte order mark", "not utf-8", "no text", "crlf"],
    )
    def test_invalid_bytes_do_not_hide_the_other_lines(self, tmp_path, data):
        path = tmp_path / "node.conf"
        path.write_bytes(data)
        assert read_settings(path) == translate(parse_lines(LINES))

    @settings(deadline=None, derandomize=True)
    @given(
        st.sampled_from([line.partition("=")[0] for line in OTHER_LINES.splitlines()]),
        st.sampled_from(ODD_TEXTS) | st.text(st.characters(exclude_categories=["Cs"])),
    )
    def test_any_value_is_translated_or_named(self, key, text):
        """Guards against an error other than that of invalid settings.

        A host that starts would end without naming the key, and one that runs would
        not read the file again.
        """
        try:
            translate(parse_lines(OTHER_LINES) | {key: text})
        except SettingsError as error:
            assert error.problems_by_flag

    def test_all_problems_are_reported_at_once_under_the_files_names(self):
        values = parse_lines(LINES)
        del values["zone"]
        values["listen.front"] = "here"
        values["bounds.retry_budget_ratio"] = "much"
        with pytest.raises(SettingsError) as caught:
            translate(values)
        assert set(caught.value.problems_by_flag) == {
            "zone",
            "listen.front",
            "bounds.retry_budget_ratio",
        }

    @pytest.mark.parametrize(
        "line",
        [
            "ip=",
            "region=",
            "bounds.grace_s=",
            "bounds.retry_budget_ratio=",
            "bounds.retry_budget_ratio=0",
            "bounds.budget_extra=",
            "bounds.budget_extra=0",
            "bounds.budget_extra=1.5",
            "bounds.budget_window_s=",
            "bounds.config_apply_ms=",
            "bounds.exposure_share=",
            "bounds.exposure_slack=0",
            "bounds.exposure_slack=",
            "seeds=10.2.0.13:8748, 10.1.0.19:8748",
            "seeds=10.2.0.13:8748,front-1:8748,,10.1.0.19:8748",
        ],
    )
    def test_empty_or_unusable_optional_values_do_not_prevent_startup(self, line):
        settings = translate(parse_lines(LINES + line))
        assert settings.grace == timedelta(seconds=8)
        assert len(settings.seeds) == 2

    def test_without_an_ip_there_is_no_metrics_listener(self):
        assert translate(parse_lines(LINES + "ip=")).metrics_listen is None

    def test_operators_may_set_their_own_resume_keys(self, tmp_path, monkeypatch):
        path = tmp_path / "node.conf"
        path.write_text(LINES)
        assert list(read_settings(path).resume_keys) == ["platform"]
        monkeypatch.setenv("PASSTALLY_RESUME_KEYS", "k7:a-secret-of-the-operators")
        assert read_settings(path).resume_keys == {"k7": b"a-secret-of-the-operators"}

    def test_resume_keys_are_shared_within_an_installation_only(self):
        first = translate(parse_lines(LINES))
        other_host = LINES.replace("front-pilar-1", "front-pilar-2")
        second = translate(parse_lines(other_host))
        elsewhere = translate(parse_lines(LINES.replace("10.200.1.7", "10.200.1.8")))
        assert first.resume_keys == second.resume_keys != elsewhere.resume_keys


class TestDecode:
    def test_the_configuration_is_decoded(self):
        routes = decode_routes(msgspec.json.encode(make_config(7)))
        stream = routes.find_route("shop.example", "/draft/1")
        assert routes.version == 7
        assert stream.kind is CallKind.STREAM
        assert stream.is_retryable
        assert stream.max_attempts == 5
        assert stream.service_for(b"x") == ENGINE
        assert routes.find_workspace(KEY).workspace == WORKSPACE
        assert routes.services_by_id[ENGINE].keeps_replicas
        assert routes.services_by_id[ENGINE].capacity_tokens == 55000
        assert not routes.services_by_id[LOOKUPS].keeps_replicas

    def test_runs_without_output_are_counted(self):
        report = {"models": [], "queued": 2, "running": 3}
        runs = [["q1", 5200, 14, 5], ["q2", 250.0, 0, 5], ["q3", 0, 0, 0]]
        assert count_waiting_runs(msgspec.json.encode(report | {"runs": runs})) == 4
        assert count_waiting_runs(msgspec.json.encode(report)) == 2
        with pytest.raises(ValueError, match="runs"):
            count_waiting_runs(msgspec.json.encode(report | {"runs": "none"}))

    @pytest.mark.parametrize(
        ("queued", "running", "with_output", "expected"),
        [(0, 1, 0, 1), (0, 3, 3, 0), (2, 1, 0, 3), (1, 4, 3, 2), (0, 0, 0, 0)],
    )
    def test_an_unlisted_run_in_prefill_is_counted(
        self, queued, running, with_output, expected
    ):
        """Guards against counting only listed runs.

        Endpoints list only runs with output. An endpoint in prefill would look idle to
        a survey, and the next prompt would wait there for a second.
        """
        runs = [["r", 8300, 12, 5]] * with_output
        body = {"models": [], "queued": queued, "running": running, "runs": runs}
        assert count_waiting_runs(msgspec.json.encode(body)) == expected

    def test_the_cached_parts_follow_from_the_events(self):
        events = [
            [1, "+", "", "5c1e", 200, "m"],
            [2, "+", "", "91bd", 410, "m"],
            [3, "-", "", "5c1e", 0, "m"],
            [4, "+", "", "e440", 250, "m"],
        ]
        body = {"epoch": 3, "next_token": 5, "lost": False, "events": events}
        assert decode_cached_parts(msgspec.json.encode(body)) == {"91bd", "e440"}
        with pytest.raises(ValueError, match="events"):
            decode_cached_parts(b"{}")

    def test_a_traffic_split_is_decoded_into_shares(self):
        config = make_config()
        route = config["routes"][1]
        del route["service"]
        route["traffic_split"] = [
            {"service": "a", "weight": 90},
            {"service": "b", "weight": 10},
        ]
        routes = decode_routes(msgspec.json.encode(config))
        shares = routes.find_route("shop.example", "/look/1").shares
        assert [(share.service, share.weight) for share in shares] == [
            ("a", 90),
            ("b", 10),
        ]

    @pytest.mark.parametrize("spec", [b"{}", b"nonsense", b'{"version": "x"}'])
    def test_an_invalid_configuration_is_rejected(self, spec):
        with pytest.raises(ValueError):
            decode_routes(spec)

    def test_an_endpoint_entry_is_decoded(self):
        spec = {
            "service": "s",
            "address": "10.0.0.1:80",
            "zone": "tigre",
            "state": "ready",
            "slots": 6,
        }
        endpoint = decode_endpoint("i-1", msgspec.json.encode(spec))
        assert endpoint.url == "http://10.0.0.1:80"
        assert endpoint.state is EndpointState.ACTIVE
        draining = msgspec.json.encode(spec | {"state": "draining"})
        assert decode_endpoint("i-1", draining).state is EndpointState.DRAINING

    def test_copy_orders_carry_an_address_and_replies_a_handle(self):
        order = msgspec.json.decode(encode_copy_order("g1", "10.0.0.2:80"))
        assert order == {"id": "g1", "target_version": "10.0.0.2:80"}
        assert decode_copy_handle(b'{"handle": "h1", "created": 3}') == "h1"
        with pytest.raises(ValueError):
            decode_copy_handle(b"{}")


def make_request(target: bytes = b"/draft/1?x", **headers: bytes) -> HttpRequest:
    pairs = [
        (name.replace("_", "-").encode(), value) for name, value in headers.items()
    ]
    return HttpRequest(method=b"POST", target=target, headers=pairs, body=b"b")


class TestRequests:
    def test_system_headers_are_decoded_and_not_forwarded(self):
        request = decode_request(
            make_request(
                Host=b"shop.example:80",
                X_Request_Id=b"q1",
                X_Key=b"k",
                X_Deadline_Ms=b"1500",
                Last_Event_Id=b"12",
                X_Token_Usage=b"1460,80",
                X_Prefix_Hash=b"5c1e07a2:800, 91bd3f06:410",
                X_Tenant_Id=b"forged",
                X_Expect_Instance=b"forged",
                X_Hint=b"kept",
            )
        )
        assert request.id == "q1"
        assert request.host == "shop.example"
        assert request.path == "/draft/1"
        assert request.key == "k"
        assert request.time_left == timedelta(seconds=1.5)
        assert request.position == 12
        assert request.prompt.last_part == "91bd3f06"
        assert (request.prompt.tokens, request.prompt.max_output) == (1460, 80)
        forwarded = {name for name, _ in request.raw.headers}
        assert forwarded == {
            b"Host",
            b"X-Request-Id",
            b"X-Token-Usage",
            b"X-Prefix-Hash",
            b"X-Hint",
        }
        assert request.raw.target == b"/draft/1?x"

    @given(
        name=st.sampled_from(names.SYSTEM_HEADERS),
        is_upper=st.lists(st.booleans(), min_size=20, max_size=20),
        times=st.integers(min_value=1, max_value=3),
    )
    def test_no_spelling_of_a_system_header_is_forwarded(self, name, is_upper, times):
        cased = bytes(
            letter - 32 if upper and 97 <= letter <= 122 else letter
            for letter, upper in zip(name, is_upper, strict=False)
        )
        cased += name[len(cased) :]
        headers = [(cased, b"1")] * times + [(b"X-Kept", b"v")]
        request = HttpRequest(method=b"POST", target=b"/a", headers=headers, body=b"")
        assert list(decode_request(request).raw.headers) == [(b"X-Kept", b"v")]

    @pytest.mark.parametrize("value", [b"soon", b"-1", b"nan", b"1e99"])
    def test_an_invalid_number_is_rejected(self, value):
        with pytest.raises(ValueError):
            decode_request(make_request(X_Deadline_Ms=value))

    # Guards against a caller that makes hosts fail: they send the sums of such numbers
    # to each other, and compute with them.
    @pytest.mark.parametrize(
        "counts",
        [b"1" + b"0" * 30 + b",1", b"1,1" + b"0" * 400, b"9" * 5000, b"-5,1", b"1,-6"],
    )
    def test_a_number_of_tokens_out_of_range_is_rejected(self, counts):
        request = make_request(X_Prefix_Hash=b"5c1e07a2:200", X_Token_Usage=counts)
        with pytest.raises(ValueError, match=r"."):
            decode_request(request)
