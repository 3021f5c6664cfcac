"""TLS keys and certificates for calls between entry instances.

All certificates of a fleet carry the same DNS name, the peer name. Instances
come and go with new IP addresses at any time, so certificates per address
would soon be outdated; a peer only has to prove that it belongs to the fleet.
"""

import dataclasses
import pathlib
import ssl

import grpc

DEFAULT_PEER_NAME = "peer.rhubarblock"


@dataclasses.dataclass(slots=True, frozen=True)
class TlsFiles:
    """Paths of the key material in PEM format.

    Attributes:
      certificate: certificate chain of this instance.
      key: private key of this instance.
      authority: certificates of the trusted authorities; two of them while an
        authority is being replaced.
      peer_name: DNS name that each peer's certificate must carry.
    """

    certificate: str | pathlib.Path
    key: str | pathlib.Path
    authority: str | pathlib.Path
    peer_name: str = DEFAULT_PEER_NAME


@dataclasses.dataclass(slots=True, frozen=True)
class TlsMaterial:
    """Contents of the key files at one time."""

    certificate: bytes
    key: bytes
    authority: bytes


def read_material(files: TlsFiles) -> TlsMaterial:
    """Reads the files and checks that the key belongs to the certificate.

    Args:
      files: paths of the files.

    Returns:
      Their contents.

    Raises:
      OSError: a file cannot be read, or key and certificate do not match, e.g.
        while they are being replaced.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(files.certificate, files.key)
    return TlsMaterial(
        pathlib.Path(files.certificate).read_bytes(),
        pathlib.Path(files.key).read_bytes(),
        pathlib.Path(files.authority).read_bytes(),
    )


def create_server_config(
    material: TlsMaterial,
) -> grpc.ServerCertificateConfiguration:
    """Returns the TLS configuration of a server for mutual TLS."""
    return grpc.ssl_server_certificate_configuration(
        [(material.key, material.certificate)],
        root_certificates=material.authority,
    )


def create_channel_credentials(
    material: TlsMaterial,
) -> grpc.ChannelCredentials:
    """Returns the TLS credentials of a client for mutual TLS."""
    return grpc.ssl_channel_credentials(
        root_certificates=material.authority,
        private_key=material.key,
        certificate_chain=material.certificate,
    )
