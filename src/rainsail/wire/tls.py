"""Mutual TLS between processes: contexts from files, and the identity in certificates."""

from typing import Any

from cryptography.x509 import Certificate as X509Certificate
from cryptography.x509.oid import NameOID
from OpenSSL import SSL
from twisted.internet import ssl
from twisted.python.failure import Failure

from rainsail.errors import Fault, FaultCode, RainsailError
from rainsail.wire.hello import CertifiedIdentity
from rainsail.wire.settings import TlsSettings

STEP = "wire.tls"


def certificate_options(settings: TlsSettings) -> ssl.CertificateOptions:
    """Read the files and return options that require a peer certificate of the authority.

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


def role_name(certificate: X509Certificate) -> str:
    """Return the subject's organizational unit, or an empty string when there is not one."""
    names = certificate.subject.get_attributes_for_oid(NameOID.ORGANIZATIONAL_UNIT_NAME)
    return str(names[0].value) if len(names) == 1 else ""


def peer_identity(transport: Any) -> CertifiedIdentity:
    """Return the identity in the peer's verified certificate; empty when there is none."""
    certificate = transport.getPeerCertificate()
    return CertifiedIdentity("", "") if certificate is None else _identity_in(certificate)


def own_identity(settings: TlsSettings) -> CertifiedIdentity:
    """Return the identity in this process's own certificate file."""
    return _identity_in(_load_own(settings).original)


def handshake_fault(reason: Failure, peer: str) -> Fault | None:
    """Return why a TLS handshake failed; None when the connection ended for another reason."""
    if not isinstance(reason.value, SSL.Error):
        return None
    causes = reason.value.args[0] if reason.value.args else ()
    reasons = "; ".join(str(cause[-1]) for cause in causes) or "the connection broke off"
    return Fault(FaultCode.FORBIDDEN, f"{STEP}.handshake", reasons, peer)


def _identity_in(certificate: Any) -> CertifiedIdentity:
    read = certificate.to_cryptography()
    return CertifiedIdentity(common_name(read), role_name(read))


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
