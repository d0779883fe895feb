"""Ports that processes of the tests are started with."""

from pathlib import Path

from standins.ports import free_port

PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


class TestFreePort:
    # Guards against a host of a test that never listens: another process of the test
    # was given the same port, or a connection had taken it in the meantime.
    def test_ports_are_distinct_and_not_taken_by_connections(self):
        ports = [free_port() for _ in range(1000)]
        first, last = map(int, PORT_RANGE.read_text().split())
        assert len(set(ports)) == len(ports)
        assert not [port for port in ports if first <= port <= last]
