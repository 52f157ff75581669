"""Mutual TLS between processes: contexts from files, and the certified process name."""

from typing import Any

from cryptography.x509 import Certificate as X509Certificate
from cryptography.x509.oid import NameOID
from twisted.internet import ssl

from rainsail.errors import Fault, FaultCode, RainsailError
from rainsail.wire.settings import TlsSettings

STEP = "wire.tls"


def certificate_options(settings: TlsSettings) -> ssl.CertificateOptions:
    """Read the files and return options that demand a peer certificate of the authority.

    Raises ``RainsailError`` naming the file that can't be read or is not a certificate or key.
    """
    authority = ssl.Certificate.loadPEM(_read(settings.authority_file))
    own = _load_own(settings)
    return ssl.CertificateOptions(
        privateKey=own.privateKey.original,
        certificate=own.original,
        trustRoot=ssl.trustRootFromCertificates([authority]),
        raiseMinimumTo=ssl.TLSVersion.TLSv1_3,
    )


def common_name(certificate: X509Certificate) -> str:
    """Return the subject's common name, or an empty string when there is not exactly one."""
    names = certificate.subject.get_attributes_for_oid(NameOID.COMMON_NAME)
    return str(names[0].value) if len(names) == 1 else ""


def certified_name(transport: Any) -> str:
    """Return the common name of the peer's verified certificate; empty when there is none."""
    certificate = transport.getPeerCertificate()
    return common_name(certificate.to_cryptography()) if certificate is not None else ""


def own_certified_name(settings: TlsSettings) -> str:
    """Return the common name in this process's own certificate file."""
    return common_name(_load_own(settings).original.to_cryptography())


def _load_own(settings: TlsSettings) -> ssl.PrivateCertificate:
    key = _read(settings.private_key_file)
    certificate = _read(settings.certificate_file)
    try:
        return ssl.PrivateCertificate.loadPEM(key + b"\n" + certificate)
    except Exception as error:
        detail = f"{settings.certificate_file} and {settings.private_key_file}: {error!r}"
        raise RainsailError(Fault(FaultCode.INVALID, STEP, detail)) from error


def _read(path: Any) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise RainsailError(Fault(FaultCode.INVALID, STEP, str(error))) from error
