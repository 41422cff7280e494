import socket

import pytest

from amaranthferry import embedded
from amaranthferry.embedded import free_address


def test_addresses_are_free_and_below_the_ports_of_outgoing_connections():
    found = [free_address() for _ in range(500)]
    assert len(set(found)) == 500
    assert all(int(address.partition(":")[2]) < 32_768 for address in found)


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_ports_in_use_are_skipped(monkeypatch, kind):
    ip, _, port = free_address().partition(":")
    monkeypatch.setattr(embedded, "LISTEN_PORTS", (int(port), int(port) + 1))
    monkeypatch.setattr(embedded, "_assigned_ports", set())
    with socket.socket(type=kind) as other:
        other.bind((ip, int(port)))
        assert free_address() == f"{ip}:{int(port) + 1}"
