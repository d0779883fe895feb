"""Hosts that did not answer a moment ago."""

from datetime import timedelta

from passtally.silent_hosts import AVOID_FOR, SilentHosts

NOW = timedelta(seconds=100)


class TestSilentHosts:
    def test_a_host_that_did_not_answer_is_silent_for_a_while(self):
        silent = SilentHosts()
        silent.note("a", NOW)
        assert silent.is_silent("a", NOW + 0.9 * AVOID_FOR)
        assert not silent.is_silent("a", NOW + AVOID_FOR)

    def test_others_are_not(self):
        silent = SilentHosts()
        silent.note("a", NOW)
        assert not silent.is_silent("b", NOW)
