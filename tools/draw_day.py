"""Draws a day of a deployment on which its streams break while what should take them up fails.

The faults of a day that the bench draws seldom meet at one service, so that few streams are taken
up at another runner, and fewer at one that fails. Here faults come in strikes: shortly after a
burst of requests that may be taken up, runners of their service break and others of it fail.

    python tools/draw_day.py SITE SEED > day.toml
"""

import random
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

FIRST_STRIKE_S = 2.0
STRIKE_PERIOD_S = (2.5, 5.0)
BURST_BEFORE_S = 1.0
BREAKS = (
    {"kind": "srv_crash", "share": 0.4, "for_s": 1.0, "how": ""},
    {"kind": "srv_crash", "share": 0.4, "for_s": 1.5, "how": "dark"},
    {"kind": "garble", "share": 0.8, "x": 0.5, "for_s": 1.5, "how": ""},
    {"kind": "garble", "share": 0.8, "x": 0.5, "for_s": 1.5, "how": "unframed"},
    {"kind": "answer_lost", "share": 0.8, "x": 0.4, "for_s": 1.5, "how": "reset"},
    {"kind": "reset_conns", "share": 0.6, "x": 0.6},
)
FAILURES = (
    {"kind": "srv_grey", "share": 1.0, "x": 0.7, "for_s": 1.0, "how": "errors"},
    {"kind": "srv_grey", "share": 1.0, "x": 0.5, "for_s": 1.0, "how": "busy"},
    {"kind": "srv_grey", "share": 1.0, "x": 0.5, "for_s": 1.0, "how": "shed"},
    {"kind": "srv_grey", "share": 1.0, "x": 0.5, "for_s": 1.0, "how": "reset"},
    {"kind": "srv_grey", "share": 1.0, "x": 0.4, "for_s": 1.0, "how": "mute"},
    {"kind": "garble", "share": 1.0, "x": 0.5, "for_s": 1.0, "how": "extra late"},
    {"kind": "answer_lost", "share": 1.0, "x": 0.4, "for_s": 1.0, "how": ""},
)
ELSEWHERE = (
    {"kind": "node_freeze", "share": 0.3, "for_s": 1.0},
    {"kind": "node_kill", "share": 0.3},
    {"kind": "node_kill", "on": "store", "count": 1, "for_s": 2.0},
    {"kind": "roll_term", "share": 0.4, "how": "busy", "gap_s": 1.0},
    {"kind": "give_up", "share": 0.3, "x": 150, "for_s": 2.0},
    {"kind": "lossy", "x": 0.03, "for_s": 2.0},
)
WITHOUT_SERVICE = frozenset({"reset_conns"})
FIRST_CHOICE = 0.5
"""Chance of the first entry of each list: a crash, and a failure that is an answer of its own."""
CLOSINGS = ("power_off_all", "kill_all", "wipe_after_ack")


def main(site_file: str, seed: int) -> None:
    """Print the day."""
    site = tomllib.loads(Path(site_file).read_text())
    drawn = random.Random(seed)
    print(f'[[day]]\nname = "drawn-strikes-{seed}"\nslot = "trouble"\nseed = {seed}')
    print("one = 1.0\nzero = 0.3\ngoal = { floor = 0.1 }")
    print(f'closing = {{ kind = "{drawn.choice(CLOSINGS)}", down_s = 1.0 }}')
    faults = sorted(strikes(site, drawn), key=lambda fault: fault["at"])
    planned = [fault for fault in faults if fault["kind"] == "roll_term"]
    print_list("plan", planned)
    print_list("faults", [fault for fault in faults if fault not in planned])


def strikes(site: dict[str, Any], drawn: random.Random) -> Iterator[dict[str, Any]]:
    """Draw the faults of a whole day."""
    streams = [each for each in site["classes"] if each.get("stream", {}).get("resume")]
    service = streams[0]["service"]
    at_s = FIRST_STRIKE_S
    while at_s < site["length_s"] - STRIKE_PERIOD_S[0]:
        wanted = drawn.choice(streams)["name"]
        begins_s = at_s - BURST_BEFORE_S
        yield {"at": begins_s, "kind": "burst", "class": wanted, "x": 8.0, "for_s": 1.5}
        broken = choose(BREAKS, drawn)
        aim = {} if broken["kind"] in WITHOUT_SERVICE else {"service": service}
        yield {"at": at_s, **broken, **aim}
        yield {"at": round(at_s - 0.01, 2), **choose(FAILURES, drawn), "service": service}
        if drawn.random() < 0.5:
            yield {"at": at_s, **drawn.choice(ELSEWHERE)}
        at_s = round(at_s + drawn.uniform(*STRIKE_PERIOD_S), 2)


def choose(faults: tuple[dict[str, Any], ...], drawn: random.Random) -> dict[str, Any]:
    """Draw one, the first more often than the others."""
    return faults[0] if drawn.random() < FIRST_CHOICE else drawn.choice(faults)


def print_list(name: str, faults: list[dict[str, Any]]) -> None:
    """Print a list of inline tables."""
    print(f"{name} = [")
    for fault in faults:
        fields = ", ".join(f"{key} = {toml_value(value)}" for key, value in fault.items())
        print(f"  {{ {fields} }},")
    print("]")


def toml_value(value: str | float) -> str:
    """Write one value."""
    return f'"{value}"' if isinstance(value, str) else str(value)


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
