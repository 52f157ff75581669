"""Settings of the transport between rainsail's own processes."""

from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, model_validator

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE


class TlsSettings(BaseModel):
    """The files that identify this process to its peers."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    authority_file: Path = Field(
        description="PEM certificate of the authority that every process trusts"
    )
    certificate_file: Path = Field(
        description="PEM certificate; common name: the process, organizational unit: its role"
    )
    private_key_file: Path = Field(description="PEM private key that belongs to the certificate")


class WireSettings(BaseModel):
    """Bounds and periods of the connections between processes."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    max_frame_bytes: int = Field(
        default=8 * MEBIBYTE, gt=KIBIBYTE, description="Largest message that is sent or accepted"
    )
    outgoing_buffer_bytes: int = Field(
        default=16 * MEBIBYTE,
        gt=0,
        description="Bytes that may be queued for one slow peer; beyond that, sends are refused",
    )
    connect_queue_bytes: int = Field(
        default=4 * MEBIBYTE,
        gt=0,
        description="Bytes that may be queued while a connection is being opened",
    )
    connect_timeout_s: float = Field(
        default=2.0, gt=0, description="Time to open a connection, without the hello"
    )
    patient_connect_timeout_s: float = Field(
        default=2.0, gt=0, description="The same for every fifth attempt, for distant peers"
    )
    hello_timeout_s: float = Field(
        default=2.0, gt=0, description="Time within which the hello of the peer must arrive"
    )
    backoff_initial_s: float = Field(
        default=0.05, gt=0, description="Longest wait before the second attempt to connect"
    )
    backoff_max_s: float = Field(
        default=0.5, gt=0, description="Longest wait between two attempts to connect"
    )
    keepalive_period_s: float = Field(
        default=5.0, gt=0, description="A connection idle for this long sends an empty frame"
    )
    dead_peer_timeout_s: float = Field(
        default=15.0, gt=0, description="A connection that received nothing for this long is closed"
    )
    user_timeout_s: float = Field(
        default=0.0,
        ge=0,
        description="Time that sent bytes may stay unacknowledged before the kernel ends the "
        "connection; 0 leaves it to the kernel",
    )
    plaintext_off_loopback: bool = Field(
        default=False,
        description="Connect to other machines without TLS, on a fully trusted network",
    )
    names_are_addresses: bool = Field(
        default=False,
        description="A process is named by the IP:PORT it listens on, so no address list is needed",
    )
    max_accepted_connections: int = Field(
        default=4096,
        gt=0,
        description="Open connections beyond which arriving ones are closed at once",
    )

    @model_validator(mode="after")
    def _check_periods(self) -> "WireSettings":
        if self.dead_peer_timeout_s < 2 * self.keepalive_period_s:
            raise ValueError("dead_peer_timeout_s must be at least twice keepalive_period_s")
        return self
