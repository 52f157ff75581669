"""Opens the trace file in which a gateway records its traffic."""

from pathlib import Path

from rainsail.assembly.dependencies import NodeDependencies
from rainsail.control.interface import ConfigReader
from rainsail.experiment.trace.recorder import TraceRecorder
from rainsail.experiment.trace.settings import RecordingSettings
from rainsail.resources.specs import Kind, RequestClass, ResourceKey, ServiceSpec, WatchEvent
from rainsail.settings.process import GatewayEntry

RECORDINGS_FOLDER = "recordings"


def open_recorder(
    data_folder: Path,
    entry: GatewayEntry,
    config: ConfigReader,
    dependencies: NodeDependencies,
    settings: RecordingSettings,
) -> TraceRecorder:
    """Open ``recordings/GATEWAY-SECONDS.avro`` and record the configuration's changes in it."""

    def default_class(service: str) -> RequestClass:
        found = config.get(ResourceKey(Kind.SERVICE, service))
        spec = found.spec if found is not None else None
        return spec.default_class if isinstance(spec, ServiceSpec) else RequestClass.ONLINE

    def changed(event: WatchEvent) -> None:
        if config.ready():
            recorder.configuration(event)

    name = f"{entry.name}-{int(dependencies.wall_clock())}.avro"
    recorder = TraceRecorder(
        data_folder / RECORDINGS_FOLDER / name,
        entry.zone,
        default_class,
        dependencies.clock,
        dependencies.random,
        dependencies.wall_clock,
        settings,
    )
    config.on_event(changed)
    return recorder
