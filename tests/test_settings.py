"""Parsing of the daemon's settings, and errors that name the invalid ones."""

from datetime import timedelta

import pytest
from click.testing import CliRunner

from passtally.cli import main
from passtally.settings import SettingsError, check_settings, parse_duration

GOOD = {
    "host_id": "entry-1",
    "failure_domain": "pilar",
    "platform": "http://127.0.0.1:1",
    "resume_keys": "k1:0123456789abcdef",
}


class TestCheckSettings:
    def test_valid_settings_are_parsed_into_their_types(self):
        settings = check_settings(
            GOOD | {"peers": "b@tigre=127.0.0.1:9", "linger": "250ms"}
        )
        assert settings.peers["b"].address.port == 9
        assert settings.linger == timedelta(milliseconds=250)

    @pytest.mark.parametrize(
        ("name", "text"),
        [
            ("host_id", "a b"),
            ("listen", "localhost:80"),
            ("listen", "127.0.0.1:99999"),
            ("platform", "ftp://x"),
            ("resume_keys", "k1:short"),
            ("peers", "b"),
            ("max_body", "0"),
            ("linger", "soon"),
        ],
    )
    def test_an_invalid_setting_names_its_flag(self, name, text):
        with pytest.raises(SettingsError, match="--" + name.replace("_", "-")):
            check_settings(GOOD | {name: text})

    def test_a_missing_setting_names_its_flag_and_variable(self):
        with pytest.raises(SettingsError, match=r"--platform.*PASSTALLY_PLATFORM"):
            check_settings({**GOOD, "platform": None})


class TestServeCommand:
    def test_an_invalid_setting_prints_one_line_and_exits_with_2(self):
        result = CliRunner().invoke(
            main, ["serve"], env={"PASSTALLY_HOST_ID": "not a name"}
        )
        assert result.exit_code == 2
        assert result.output.count("\n") == 1
        assert "--host-id" in result.output


@pytest.mark.parametrize(
    ("text", "seconds"), [("250ms", 0.25), ("2s", 2), ("1.5m", 90), ("1h", 3600)]
)
def test_parse_duration(text, seconds):
    assert parse_duration(text) == timedelta(seconds=seconds)


# Guards against an error that the checks of settings and of callers' headers do not
# catch: no duration can hold these numbers.
@pytest.mark.parametrize("text", ["9" * 10 + "m", "9" * 20 + "h", "9" * 400 + "ms"])
def test_a_duration_out_of_range_is_rejected(text):
    with pytest.raises(ValueError, match="longer than"):
        parse_duration(text)
