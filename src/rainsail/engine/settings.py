"""Settings of the engine client."""

from pydantic import BaseModel, ConfigDict, Field


class EngineClientSettings(BaseModel):
    """Connections and timeouts towards the model engines."""

    model_config = ConfigDict(frozen=True)

    connect_timeout_s: float = Field(
        default=1.0, gt=0, description="Time to open a connection, in seconds."
    )
    read_timeout_s: float = Field(
        default=3.0,
        gt=0,
        description="Silence on a stream after which it counts as lost, in seconds; engines send "
        "a comment every second.",
    )
    call_timeout_s: float = Field(
        default=3.0, gt=0, description="Time for an answer to an order, cancel or KV call."
    )
    idle_connections_per_engine: int = Field(
        default=64, gt=0, description="Most idle connections kept open to one engine."
    )
    idle_connection_s: float = Field(
        default=30.0, gt=0, description="How long an idle connection is kept, in seconds."
    )
    max_frame_bytes: int = Field(
        default=4 * 1024 * 1024, gt=0, description="Longest server-sent event taken, in bytes."
    )
    max_reply_bytes: int = Field(
        default=64 * 1024 * 1024,
        gt=0,
        description="Longest answer to a call taken, in bytes (an exported KV cache).",
    )
