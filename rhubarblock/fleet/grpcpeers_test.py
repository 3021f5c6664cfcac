import asyncio
import contextlib
import datetime
import ipaddress
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid
import pytest

from rhubarblock.fleet import grpcpeers
from rhubarblock.fleet import peertls
from rhubarblock.fleet import peertransport
from rhubarblock.kernel import timers as timers_lib

LISTEN = "127.0.0.1:0"
NOT_BEFORE = datetime.datetime(2020, 1, 1)
NOT_AFTER = datetime.datetime(2100, 1, 1)


class Authority:
    """Certificate authority of a fleet."""

    def __init__(self, name: str):
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name(
            [x509.NameAttribute(oid.NameOID.COMMON_NAME, name)]
        )
        builder = self._start(self._name, self._key).add_extension(
            x509.BasicConstraints(ca=True, path_length=None), critical=True
        )
        self.pem = _encode(builder.sign(self._key, hashes.SHA256()))

    def issue(
        self, folder: pathlib.Path, name: str = peertls.DEFAULT_PEER_NAME
    ) -> peertls.TlsFiles:
        """Writes a key and certificate for one instance."""
        folder.mkdir(exist_ok=True)
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])
        names = x509.SubjectAlternativeName(
            [
                x509.DNSName(name),
                x509.IPAddress(ipaddress.ip_address("127.0.0.1")),
            ]
        )
        builder = self._start(subject, key).add_extension(names, critical=False)
        certificate = builder.sign(self._key, hashes.SHA256())
        files = peertls.TlsFiles(
            folder / "cert.pem", folder / "key.pem", folder / "ca.pem"
        )
        files.certificate.write_bytes(_encode(certificate))
        files.key.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        files.authority.write_bytes(self.pem)
        return files

    def _start(self, subject, key):
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(NOT_BEFORE)
            .not_valid_after(NOT_AFTER)
        )


def _encode(certificate):
    return certificate.public_bytes(serialization.Encoding.PEM)


def create_peers(instance_id, tls=None, listen=LISTEN):
    peers = grpcpeers.GrpcPeers(
        listen,
        grpcpeers.PeerIdentity(instance_id, 1),
        timers_lib.LoopTimers(),
        tls,
    )

    async def echo(sender, payload):
        return sender.encode() + b":" + payload

    peers.register("echo", echo)
    return peers


@contextlib.asynccontextmanager
async def run_pair(first_tls=None, second_tls=None):
    first = create_peers("entry-1", first_tls)
    second = create_peers("entry-2", second_tls)
    async with first.run(), second.run():
        yield first, second


def test_call_returns_the_response():
    async def main():
        async with run_pair() as (first, second):
            return await first.call(second.address, "echo", b"hi", 5.0)

    assert asyncio.run(main()) == b"entry-1:hi"


def test_kind_without_handler_is_a_peer_error():
    async def main():
        async with run_pair() as (first, second):
            with pytest.raises(peertransport.PeerError, match="UNIMPLEMENTED"):
                await first.call(second.address, "other", b"", 5.0)

    asyncio.run(main())


def test_handler_that_raises_is_a_peer_error():
    async def fail(sender, payload):
        raise ValueError("broken")

    async def main():
        async with run_pair() as (first, second):
            second.register("fail", fail)
            with pytest.raises(peertransport.PeerError, match="INTERNAL"):
                await first.call(second.address, "fail", b"", 5.0)
            return second.counters.handler_failures

    assert asyncio.run(main()) == 1


def test_call_ends_at_its_timeout():
    async def wait(sender, payload):
        await asyncio.sleep(60)
        return b""

    async def main():
        async with run_pair() as (first, second):
            second.register("wait", wait)
            with pytest.raises(peertransport.PeerError, match="DEADLINE"):
                await first.call(second.address, "wait", b"", 0.05)

    asyncio.run(main())


def test_lost_peer_raises_and_is_reconnected():
    async def main():
        async with run_pair() as (first, second):
            address = second.address
        async with create_peers("entry-1").run() as first:
            with pytest.raises(peertransport.PeerError, match="UNAVAILABLE"):
                await first.call(address, "echo", b"", 5.0)
            async with create_peers("entry-3", listen=address).run():
                answer = None
                while answer is None:
                    await asyncio.sleep(0.05)
                    with contextlib.suppress(peertransport.PeerError):
                        answer = await first.call(address, "echo", b"hi", 5.0)
                return answer

    assert asyncio.run(main()) == b"entry-1:hi"


def test_busy_port_is_an_error():
    async def main():
        async with create_peers("entry-1").run() as first:
            second = create_peers("entry-2", listen=first.address)
            with pytest.raises(OSError, match=first.address):
                async with second.run():
                    pass

    asyncio.run(main())


def test_missing_key_file_is_an_error(tmp_path):
    files = Authority("one").issue(tmp_path)
    files.key.unlink()
    with pytest.raises(FileNotFoundError):
        create_peers("entry-1", files)


def test_peers_of_one_authority_can_call_each_other(tmp_path):
    authority = Authority("one")
    first_files = authority.issue(tmp_path / "1")
    second_files = authority.issue(tmp_path / "2")

    async def main():
        async with run_pair(first_files, second_files) as (first, second):
            return await first.call(second.address, "echo", b"hi", 5.0)

    assert asyncio.run(main()) == b"entry-1:hi"


@pytest.mark.parametrize("intruder", ["clear", "authority", "name"])
def test_client_without_a_valid_peer_certificate_is_refused(tmp_path, intruder):
    authority = Authority("one")
    files = authority.issue(tmp_path / "1")
    bad_files = {
        "clear": None,
        "authority": Authority("two").issue(tmp_path / "2"),
        "name": authority.issue(tmp_path / "3", "web.example"),
    }[intruder]
    if intruder == "authority":
        # The client trusts the server's certificate; the server must still
        # refuse the client's.
        bad_files.authority.write_bytes(authority.pem)

    async def main():
        async with run_pair(bad_files, files) as (first, second):
            with pytest.raises(peertransport.PeerError):
                await first.call(second.address, "echo", b"hi", 5.0)

    asyncio.run(main())


def test_server_with_another_name_is_rejected(tmp_path):
    authority = Authority("one")
    files = authority.issue(tmp_path / "1")
    bad_files = authority.issue(tmp_path / "2", "web.example")

    async def main():
        async with run_pair(files, bad_files) as (first, second):
            with pytest.raises(peertransport.PeerError, match="UNAVAILABLE"):
                await first.call(second.address, "echo", b"hi", 5.0)
            return second.counters.calls_received

    assert asyncio.run(main()) == 0


def test_authority_is_replaced_without_a_restart(tmp_path, monkeypatch):
    monkeypatch.setattr(grpcpeers, "RELOAD_INTERVAL_S", 0.02)
    old = Authority("old")
    new = Authority("new")
    files = [old.issue(tmp_path / name) for name in ("1", "2")]

    async def reloaded(peers, count):
        while peers.counters.reloads < count:
            await asyncio.sleep(0.01)

    async def main():
        answers = []
        async with run_pair(*files) as (first, second):
            both = [first, second]
            answers.append(await first.call(second.address, "echo", b"0", 5.0))
            # First both authorities, then the new keys, then only the new
            # authority: calls succeed at each step.
            for item in files:
                item.authority.write_bytes(old.pem + new.pem)
            await asyncio.gather(*(reloaded(peers, 1) for peers in both))
            answers.append(await first.call(second.address, "echo", b"1", 5.0))
            new.issue(tmp_path / "2")
            files[1].authority.write_bytes(old.pem + new.pem)
            await reloaded(second, 2)
            answers.append(await first.call(second.address, "echo", b"2", 5.0))
            new.issue(tmp_path / "1")
            files[1].authority.write_bytes(new.pem)
            await asyncio.gather(reloaded(first, 2), reloaded(second, 3))
            answers.append(await first.call(second.address, "echo", b"3", 5.0))
            answers.append(await second.call(first.address, "echo", b"4", 5.0))
        return answers

    assert asyncio.run(main()) == [
        b"entry-1:0",
        b"entry-1:1",
        b"entry-1:2",
        b"entry-1:3",
        b"entry-2:4",
    ]


@pytest.mark.parametrize("fault", ["vanished", "mismatched"])
def test_unreadable_key_files_keep_the_loaded_ones_in_use(
    tmp_path, monkeypatch, fault
):
    monkeypatch.setattr(grpcpeers, "RELOAD_INTERVAL_S", 0.02)
    authority = Authority("one")
    files = [authority.issue(tmp_path / name) for name in ("1", "2")]

    async def main():
        async with run_pair(*files) as (first, second):
            if fault == "vanished":
                files[0].key.unlink()
            else:
                files[0].key.write_bytes(files[1].key.read_bytes())
            while not first.counters.reload_failures:
                await asyncio.sleep(0.01)
            return await first.call(second.address, "echo", b"hi", 5.0)

    assert asyncio.run(main()) == b"entry-1:hi"


def test_idle_channel_is_closed(monkeypatch):
    monkeypatch.setattr(grpcpeers, "RELOAD_INTERVAL_S", 0.02)
    monkeypatch.setattr(grpcpeers, "CHANNEL_IDLE_S", 0.05)

    async def main():
        async with run_pair() as (first, second):
            await first.call(second.address, "echo", b"hi", 5.0)
            while first.channel_count:
                await asyncio.sleep(0.01)
            return await first.call(second.address, "echo", b"ho", 5.0)

    assert asyncio.run(main()) == b"entry-1:ho"
