"""Silent cuts: nothing is forwarded and no connection is closed."""

import pathlib
import socket

import pytest

from cyclamenlift.core.streams import Address
from cyclamenlift.standins.fleet import free_address
from cyclamenlift.standins.fleet import wait_until
from cyclamenlift.standins.paths import RelayPaths
from cyclamenlift.standins.relay import Direction

HOST = '127.0.0.1'
LOCAL_PORTS = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')
QUIET_SECONDS = 0.2
WAIT_SECONDS = 10.0


@pytest.fixture
def paths():
    made = RelayPaths(HOST)
    yield made
    made.close()


@pytest.fixture
def ends(paths):
    """Yield both ends of one relayed connection for each direction."""
    with socket.create_server((HOST, 0)) as server:
        relayed = paths.tcp('a', 'b', str(Address(*server.getsockname())))
        client = socket.create_connection(tuple(Address.parse(relayed)))
        accepted, _ = server.accept()
    for end in (client, accepted):
        end.settimeout(WAIT_SECONDS)
    yield {
        Direction.FORWARD: (client, accepted),
        Direction.BACKWARD: (accepted, client),
    }
    client.close()
    accepted.close()


def is_silent(end: socket.socket) -> bool:
    """Tell whether neither data nor an end of file arrives in time."""
    end.settimeout(QUIET_SECONDS)
    try:
        end.recv(100)
    except TimeoutError:
        return True
    finally:
        end.settimeout(WAIT_SECONDS)
    return False


@pytest.mark.parametrize('cut', list(Direction))
def test_one_direction_is_cut_and_queued_bytes_arrive_after_healing(
    paths, ends, cut
):
    paths.cut_stream('a', 'b', [cut])
    for direction, (sender, receiver) in ends.items():
        sender.sendall(b'x')
        assert is_silent(receiver) == (direction is cut)
    ends[cut][0].sendall(b'y')
    ends[cut][0].close()
    assert is_silent(ends[cut][1])
    paths.heal()
    assert ends[cut][1].recv(1) == b'x'
    assert ends[cut][1].recv(1) == b'y'
    assert ends[cut][1].recv(1) == b''


def test_new_connection_passes_nothing_until_the_path_is_healed(paths):
    with socket.create_server((HOST, 0)) as server:
        relayed = paths.tcp('a', 'b', str(Address(*server.getsockname())))
        paths.isolate('b')
        with socket.create_connection(tuple(Address.parse(relayed))) as client:
            client.sendall(b'x')
            server.settimeout(QUIET_SECONDS)
            with pytest.raises(TimeoutError):
                server.accept()
            paths.heal()
            server.settimeout(WAIT_SECONDS)
            accepted, _ = server.accept()
            with accepted:
                assert accepted.recv(1) == b'x'


def test_delay_keeps_the_order(paths, ends):
    state = paths.streams['a', 'b'].direction_states[Direction.FORWARD]
    client, accepted = ends[Direction.FORWARD]
    state.delay = QUIET_SECONDS
    client.sendall(b'x')
    wait_until(lambda: state.received_bytes == 1, WAIT_SECONDS, 'x is in')
    state.delay = 0.0
    client.sendall(b'y')
    assert accepted.recv(1) + accepted.recv(1) == b'xy'


def test_datagrams_are_dropped_only_between_partitions(paths):
    socks = {
        name: socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for name in 'abc'
    }
    relayed = {}
    for name, sock in socks.items():
        sock.bind((HOST, 0))
        sock.settimeout(WAIT_SECONDS)
        address = str(Address(*sock.getsockname()))
        relayed[name] = tuple(Address.parse(paths.udp(name, address)))
    paths.isolate('a')
    for sender in 'abc':
        socks[sender].sendto(sender.encode(), relayed['c'])
    assert {socks['c'].recv(9) for _ in range(2)} == {b'b', b'c'}
    assert is_silent(socks['c'])
    paths.heal()
    socks['a'].sendto(b'a', relayed['c'])
    assert socks['c'].recv(9) == b'a'
    for sock in socks.values():
        sock.close()


@pytest.mark.parametrize(
    ('cuts', 'apart'),
    [
        ([], set()),
        ([(('a',), None)], {'ab', 'ac'}),
        ([(('a',), {'b'})], {'ab'}),
        ([(('a', 'b'), None)], {'ac', 'bc'}),
        ([(('a', 'b'), None), (('a',), {'b'})], {'ab', 'ac', 'bc'}),
    ],
)
def test_partitions_are_combined(paths, cuts, apart):
    for names, others in cuts:
        paths.isolate(*names, others=others)
    for pair in ('ab', 'ac', 'bc'):
        assert paths.is_partitioned(*pair) == (pair in apart)
        assert paths.is_partitioned(*reversed(pair)) == (pair in apart)


def test_free_ports_lie_below_the_ephemeral_range():
    # Regression: a relay or an outgoing connection took the port of a
    # process that had not bound it yet, and the process did not start.
    lowest_ephemeral = int(LOCAL_PORTS.read_text().split()[0])
    addresses = [Address.parse(free_address()) for _ in range(50)]
    assert len(set(addresses)) == 50
    assert all(address.port < lowest_ephemeral for address in addresses)
