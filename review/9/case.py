"""A batch job whose results exceed one message between stores is lost with the second disk."""

import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common3.fleet import (  # noqa: E402
    RUNNER,
    ZONES,
    Fleet,
    Record,
    Request,
    Server,
    batch_configuration,
    has_trouble,
    job_body,
    run_case,
    wait_until,
)

JOBS = ("7c41e09b52d6a3f8", "7c41e09b52d6a3f9")
ITEMS = 200
EVENTS = 110
EVENT_BYTES = 480
SERVERS = 6
SLOTS = 12
EVENT_PAUSE_S = 0.004
LOST = ("storage-1", "storage-2")
DOWN_S = 2.0
BETWEEN_LOSSES_S = 15.0
READ_FOR_S = 25.0


def events_of(request: Request) -> list[str]:
    """Return the events of an item: its id and filling."""
    item = request.headers.get("request-id", "")
    return [f"{item} {number} ".ljust(EVENT_BYTES, "x") for number in range(1, EVENTS + 1)]


def read_all(fleet: Fleet, job: str) -> list[tuple[str, str, int]] | None:
    """Read a job from its start; None if a page can't be read at any gateway."""
    found: list[tuple[str, str, int]] = []
    while len(found) < ITEMS:
        page = read_page(fleet, job, len(found))
        if page is None:
            return None
        if not page["results"]:
            break
        found += [(each["id"], each["state"], hash(each["text"])) for each in page["results"]]
    return found


def read_page(fleet: Fleet, job: str, after: int) -> dict | None:
    """Read one page at one gateway after the other."""
    for gateway in ("gateway-1", "gateway-2"):
        status, body, _ = fleet.client(gateway, "GET", f"/api/lots/{job}?after={after}")
        if status == 200:
            return json.loads(body)
        fleet.record.add("read", job=job, after=after, gateway=gateway, status=status)
    return None


def submit(fleet: Fleet, job: str) -> bool:
    """Submit a job once; tell whether it was accepted."""
    headers = {"Request-Id": job, "Content-Type": "application/json"}
    body = job_body(job, ITEMS)
    status, _, _ = fleet.client("gateway-1", "POST", f"/pule252/{job}", body, headers)
    fleet.record.add("submit", job=job, bytes=len(body), status=status)
    return status == 202


def lose_disks(fleet: Fleet) -> None:
    """Have two stores lose their disks, one long after the other is back."""
    for name in LOST:
        fleet.kill(name)
        fleet.wipe(name)
        time.sleep(DOWN_S)
        fleet.start(name)
        time.sleep(BETWEEN_LOSSES_S)
        borne = [fleet.metric(f"storage-{n}", "group_losses_borne") for n in (1, 2, 3)]
        fleet.record.add("after the loss", node=name, losses_borne=borne)


def case(record: Record) -> str:
    """Have two jobs completed, lose two disks one after the other, and read the jobs again."""
    with Fleet(record) as fleet:
        for number in range(1, SERVERS + 1):
            zone = ZONES[number % len(ZONES)]
            address = f"{fleet.ip('runner', number)}:{RUNNER}"
            server = Server(f"i-{number:08x}", "huvo11a", address, zone, SLOTS, events_of)
            server.event_pause_s = EVENT_PAUSE_S
            fleet.add_server(server)
        fleet.configure(batch_configuration(1))
        fleet.wait_ready()
        for job in JOBS:
            wait_until(lambda job=job: submit(fleet, job), "the job is accepted", 20)
        before: dict[str, list[tuple[str, str, int]]] = {}

        def is_done(job: str) -> bool:
            before[job] = read_all(fleet, job) or []
            return len(before[job]) == ITEMS

        for job in JOBS:
            wait_until(lambda job=job: is_done(job), "all results are listed", 40)
            record.add("all results read", job=job, results=len(before[job]))
        if has_trouble():
            lose_disks(fleet)
        else:
            time.sleep(len(LOST) * (DOWN_S + BETWEEN_LOSSES_S))
        until_s = time.monotonic() + READ_FOR_S
        wrong = dict.fromkeys(JOBS, "not read")
        while wrong and time.monotonic() < until_s:
            for job in list(wrong):
                again = read_all(fleet, job)
                if again == before[job]:
                    record.add("read again", job=job, results=len(again))
                    del wrong[job]
                else:
                    wrong[job] = "can't be read" if again is None else "has other results"
            time.sleep(0.5)
        return "; ".join(f"job {job} {why}" for job, why in wrong.items())


if __name__ == "__main__":
    run_case(FOLDER, case)
