"""Hosts that have recently failed to answer."""

from datetime import timedelta

from passtally.silent_hosts import AVOID_TIME, SilentHosts

NOW = timedelta(seconds=100)


class TestSilentHosts:
    def test_a_host_that_did_not_answer_is_silent_for_the_avoid_time(self):
        silent = SilentHosts()
        silent.record_silence("a", NOW)
        assert silent.is_silent("a", NOW + 0.9 * AVOID_TIME)
        assert not silent.is_silent("a", NOW + AVOID_TIME)

    def test_other_hosts_are_not_silent(self):
        silent = SilentHosts()
        silent.record_silence("a", NOW)
        assert not silent.is_silent("b", NOW)
