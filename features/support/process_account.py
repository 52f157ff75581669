"""Describes the state of a process, for the error message of a wait that timed out."""

from pathlib import Path

LAST_LINES = 12


def process_account(process_id: int, log: str) -> str:
    """Return the process's state, processor time and page faults, and the end of its log."""
    folder = Path(f"/proc/{process_id}")
    try:
        # The command's name, in brackets, may contain blanks.
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        waits_in = (folder / "wchan").read_text()
    except OSError as error:
        return f"process {process_id} can't be read: {error}; its log ends with:\n{_end(log)}"
    state, major_faults, user_ticks, system_ticks = fields[0], fields[9], fields[11], fields[12]
    machine = Path("/proc/loadavg").read_text().split()[:3]
    memory = Path("/proc/meminfo").read_text().splitlines()[2]
    return (
        f"process {process_id}: state {state}, waits in {waits_in}, {major_faults} major faults, "
        f"{user_ticks} + {system_ticks} ticks of processor time; load {machine}, {memory}; "
        f"its log ends with:\n{_end(log)}"
    )


def _end(log: str) -> str:
    return "\n".join(log.splitlines()[-LAST_LINES:])
