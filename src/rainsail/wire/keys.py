"""Development authority, process certificates and API keys.

The authority is meant for development and tests: its key is stored unencrypted next to the
certificates, readable by the owner only.
"""

import hashlib
import os
import re
import secrets
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from rainsail.wire.hello import ProcessRole

AUTHORITY_NAME = "rainsail development authority"
AUTHORITY_FILE = "authority.pem"
AUTHORITY_KEY_FILE = "authority.key"
VALIDITY = timedelta(days=3650)
CLOCK_TOLERANCE = timedelta(days=1)
"""Validity starts this long before creation, for machines whose clocks are behind."""
API_KEY_BYTES = 32
API_KEY_PREFIX = "rs-"
_PROCESS_NAME = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")


@dataclass(frozen=True, slots=True)
class ApiKey:
    """A new API key; only its hash is stored."""

    secret: str
    sha256_hex: str


@dataclass(frozen=True, slots=True)
class Authority:
    """The certificate and key that sign process certificates."""

    certificate: x509.Certificate
    key: ec.EllipticCurvePrivateKey


def new_api_key() -> ApiKey:
    """Return a fresh random API key and its SHA-256 hash."""
    secret = API_KEY_PREFIX + secrets.token_urlsafe(API_KEY_BYTES)
    return ApiKey(secret, api_key_hash(secret))


def api_key_hash(secret: str) -> str:
    """Return the hex SHA-256 of an API key, as kept in ``TenantSpec.key_hashes``."""
    return hashlib.sha256(secret.encode()).hexdigest()


def create_certificates(
    folder: Path,
    names: list[str],
    role: ProcessRole = ProcessRole.GATEWAY,
    validity: timedelta = VALIDITY,
) -> list[Path]:
    """Write a key and certificate per name; return the new files.

    Each certificate names the role of its process. Peers that check roles refuse the certificate
    of a gateway from a replica, and the reverse.

    The authority is made when the folder has none. Raises ``FileExistsError`` rather than
    overwrite, ``ValueError`` for a bad process name; in both cases nothing is written.
    """
    for name in names:
        if _PROCESS_NAME.fullmatch(name) is None:
            raise ValueError(f"not a process name: {name!r}")
        for path in (folder / f"{name}.pem", folder / f"{name}.key"):
            if path.exists():
                raise FileExistsError(f"{path} exists already")
    folder.mkdir(parents=True, exist_ok=True)
    written: list[Path] = []
    authority = _load_or_create_authority(folder, written)
    for name in names:
        _write_process_certificate(folder, name, role, validity, authority, written)
    return written


def _load_or_create_authority(folder: Path, written: list[Path]) -> Authority:
    certificate_path = folder / AUTHORITY_FILE
    key_path = folder / AUTHORITY_KEY_FILE
    if certificate_path.exists():
        certificate = x509.load_pem_x509_certificate(certificate_path.read_bytes())
        key = serialization.load_pem_private_key(key_path.read_bytes(), None)
        if not isinstance(key, ec.EllipticCurvePrivateKey):
            raise ValueError(f"{key_path}: expected an elliptic-curve key")
        return Authority(certificate, key)
    key = ec.generate_private_key(ec.SECP256R1())
    name = _subject(AUTHORITY_NAME)
    usage = _key_usage(signs_certificates=True)
    builder = _builder(name, name, key.public_key())
    builder = builder.add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
    certificate = builder.add_extension(usage, critical=True).sign(key, hashes.SHA256())
    _write_pair(folder, "authority", certificate, key, written)
    return Authority(certificate, key)


def _write_process_certificate(
    folder: Path,
    name: str,
    role: ProcessRole,
    validity: timedelta,
    authority: Authority,
    written: list[Path],
) -> None:
    key = ec.generate_private_key(ec.SECP256R1())
    purposes = [ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH]
    subject = _subject(name, role)
    builder = _builder(subject, authority.certificate.subject, key.public_key(), validity)
    builder = builder.add_extension(x509.BasicConstraints(ca=False, path_length=None), True)
    builder = builder.add_extension(_key_usage(signs_certificates=False), True)
    builder = builder.add_extension(x509.ExtendedKeyUsage(purposes), False)
    certificate = builder.sign(authority.key, hashes.SHA256())
    _write_pair(folder, name, certificate, key, written)


def _builder(
    subject: x509.Name,
    issuer: x509.Name,
    public_key: ec.EllipticCurvePublicKey,
    validity: timedelta = VALIDITY,
) -> x509.CertificateBuilder:
    now = datetime.now(UTC)
    builder = x509.CertificateBuilder(issuer, subject, public_key)
    builder = builder.serial_number(x509.random_serial_number())
    builder = builder.not_valid_before(now - CLOCK_TOLERANCE)
    return builder.not_valid_after(now + validity)


def _subject(common_name: str, role: ProcessRole | None = None) -> x509.Name:
    attributes = [x509.NameAttribute(NameOID.COMMON_NAME, common_name)]
    if role is not None:
        attributes.append(x509.NameAttribute(NameOID.ORGANIZATIONAL_UNIT_NAME, role))
    return x509.Name(attributes)


def _key_usage(signs_certificates: bool) -> x509.KeyUsage:
    return x509.KeyUsage(
        digital_signature=True,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        key_cert_sign=signs_certificates,
        crl_sign=signs_certificates,
        encipher_only=False,
        decipher_only=False,
    )


def _write_pair(
    folder: Path,
    name: str,
    certificate: x509.Certificate,
    key: ec.EllipticCurvePrivateKey,
    written: list[Path],
) -> None:
    key_bytes = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    _write_new(folder / f"{name}.key", key_bytes, 0o600)
    _write_new(folder / f"{name}.pem", certificate.public_bytes(serialization.Encoding.PEM), 0o644)
    written += [folder / f"{name}.key", folder / f"{name}.pem"]


def _write_new(path: Path, data: bytes, mode: int) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode)
    with os.fdopen(descriptor, "wb") as file:
        file.write(data)
