"""Steps on the adapter's processes and the stand-in for the platform."""

import json
import tempfile
import threading
from pathlib import Path

from behave import given, then, when
from features.support.command_line import rainsail_here
from features.support.platform_stand_in import (
    CONTROL_PORT,
    EVENTS,
    StandInPlatform,
    wait_until,
)

WHOLE_STREAM = "".join(f"id: {n}\ndata: text {n}\n\n" for n in range(1, EVENTS + 1)).encode()
ITEM_TEXT = "\n".join(f"text {n}" for n in range(1, EVENTS + 1))


@given(
    "the platform's stand-in with {controllers:d} controllers, {storage:d} storage nodes, "
    "{gateways:d} gateways and {runners:d} runners"
)
def start(context, controllers, storage, gateways, runners):
    context.platform = platform = StandInPlatform(controllers, storage, gateways)
    context.add_cleanup(platform.close)
    wait_until(lambda: _all_controllers_answer(platform), "controllers")
    for _ in range(runners):
        platform.add_runner()


def _all_controllers_answer(platform):
    """Tell whether each controller by itself answers that there is no configuration yet."""
    ips = [node.ip for node in platform.nodes.values() if node.role == "controller"]
    calls = [platform.call(ip, CONTROL_PORT, "GET", "/api/Config.Read") for ip in ips]
    return [status for status, _, _ in calls] == [503] * len(ips)


@then("an invalid configuration is refused with 400, and a read is unavailable before the first")
def refuse_invalid(context):
    body = context.platform.configuration(1)
    body["routes"][0]["service"] = "nobody"
    assert context.platform.control("POST", "/api/Config.Replace", body)[0] == 400
    assert context.platform.control("GET", "/api/Config.Read")[0] == 503


@then("a client that comes too early is refused with a time to retry after, and the log says why")
def refused_early(context):
    wait_until(lambda: context.platform.listens("gateway-1"), "gateway-1 listening")
    status, _, headers = _served(context, "/safe/1", "early-1")
    assert status == 503 and float(headers["Retry-After"]) > 0, (status, headers)
    lines = context.platform.log_lines("gateway-1")
    (line,) = [each for each in lines if each.get("request") == "early-1"]
    assert line["event"] == "request_refused" and "table" in line["reason"], line


@when("the operator's configuration is taken")
def configure(context):
    context.platform.configure()


@then("both gateways are ready")
def ready(context):
    for name in ("gateway-1", "gateway-2"):
        wait_until(lambda name=name: context.platform.is_ready(name), f"{name} ready")
    runners = context.platform.runners
    wait_until(lambda: all(context.platform.beat(each) == 200 for each in runners), "beats")


def _served(context, path, request, gateway="gateway-1", body=b"hello"):
    return context.platform.client(gateway, "POST", path, body, Request_Id=request)


@then("a safe request is answered with the runner's bytes and its signature")
def safe_request(context):
    answers = []

    def served():
        answers.append(_served(context, "/safe/1", "safe-1"))
        return answers[-1][0] == 200

    wait_until(served, "a served request")
    status, body, headers = answers[-1]
    assert (status, body) == (200, b"echo hello"), answers[-1]
    assert headers["Response-Stamp"] == "stamp-1" and headers["Request-Id"] == "safe-1"


@then("an unknown path is answered 404")
def unknown(context):
    assert _served(context, "/nowhere/1", "none-1")[0] == 404


@then("a stream of {count:d} events arrives whole")
def stream_whole(context, count):
    status, body, _ = _served(context, "/stream/1", "stream-1")
    assert (status, body) == (200, WHOLE_STREAM), (status, body)


@then("a stream that breaks off after {count:d} events arrives whole from the other runner")
def stream_broken(context, count):
    for runner in context.platform.runners:
        runner.break_after = count
    status, body, _ = _served(context, "/stream/2", "stream-2")
    assert (status, body) == (200, WHOLE_STREAM), (status, body)
    resumed = [each for runner in context.platform.runners for each in runner.resumed_after]
    assert resumed and set(resumed) == {str(count)}, resumed


@then("what a runner refuses is served by the other one")
def refused_elsewhere(context):
    refusing = context.platform.runners[0]
    refusing.refuse = 100
    answers = [_served(context, "/safe/1", f"refused-{n}") for n in range(8)]
    refused = 100 - refusing.refuse
    refusing.refuse = 0
    assert [status for status, _, _ in answers] == [200] * 8, answers
    assert refused > 0, "the refusing runner was never asked"


@then("the configuration reads back as it was sent")
def reads_back(context):
    platform = context.platform
    wait_until(lambda: platform.control("GET", "/api/Config.Read")[0] == 200, "a read")
    body = json.loads(platform.control("GET", "/api/Config.Read")[1])
    assert body == platform.configuration(platform.version), body


# --- jobs ----------------------------------------------------------------------------------


@when("a job of {count:d} items is handed in at one gateway")
def submit(context, count):
    wait_until(lambda: context.platform.submit("gateway-1", "job-1", count) == 202, "the job")


def _results(context):
    pages = []

    def complete():
        pages.append(context.platform.results("gateway-2", "job-1"))
        return pages[-1] is not None and len(pages[-1]["results"]) == 3

    wait_until(complete, "three results")
    return pages[-1]


@then("the job's 3 results are read at the other one")
def read_results(context):
    context.results = page = _results(context)
    assert page["total"] == 3 and page["nextToken"] == 3
    assert {entry["state"] for entry in page["results"]} == {"done"}
    assert {entry["text"] for entry in page["results"]} == {ITEM_TEXT}
    assert {entry["id"] for entry in page["results"]} == {f"job-1-{n}" for n in range(3)}


@then("the job submitted again is accepted again and nothing runs twice")
def submit_again(context):
    before = sum(len(runner.ran) for runner in context.platform.runners)
    assert context.platform.submit("gateway-2", "job-1", 3) == 202
    assert _results(context) == context.results
    assert sum(len(runner.ran) for runner in context.platform.runners) == before


@then("the job's 3 results read the same")
def read_same(context):
    assert _results(context) == context.results


@then("the nodes' metrics count what was served, listed and led")
def metrics_count(context):
    platform = context.platform
    assert platform.metric("gateway-1", "requests_total", kind="safe", outcome="completed") >= 5
    assert platform.metric("gateway-1", "request_first_seconds_count", kind="stream") >= 2
    assert platform.metric("gateway-1", "table_version") == platform.version
    for role in ("controller", "storage"):
        names = [name for name in platform.nodes if name.startswith(role)]
        # Two of three controllers suffice; the third one that was killed may still be starting.
        wait_until(lambda names=names: _all_have_voters(platform, names), f"every {role}'s voters")
        leads = _known_leads(platform, names)
        assert sum(leads) == 1, leads


def _known_leads(platform, names):
    """Return which nodes lead their group, read again while the reads show none.

    The nodes are read one after the other, and the leadership may move meanwhile.
    """
    reads = []

    def any_leads():
        reads.append([platform.metric(name, "group_leads") for name in names])
        return any(reads[-1])

    wait_until(any_leads, f"a leader among {names}")
    return reads[-1]


def _all_have_voters(platform, names):
    return [platform.metric(name, "group_voters") for name in names] == [3] * len(names)


# --- losses --------------------------------------------------------------------------------


@when("every controller and every storage node is killed and starts again")
def kill_all(context):
    names = [name for name in context.platform.nodes if not name.startswith("gateway")]
    for name in names:
        context.platform.kill(name)
    context.during = [_served(context, "/safe/1", f"during-{n}")[0] for n in range(5)]
    for name in names:
        context.platform.start(name)


@then("requests are served meanwhile")
def served_meanwhile(context):
    assert context.during == [200] * 5, context.during


@when("a runner drains")
def drain(context):
    platform = context.platform
    runner = platform.runners[0]
    wait_until(lambda: platform.beat(runner, "draining") == 200, "the acknowledgement")
    platform.beat(platform.runners[1])


@then("its report is acknowledged and it gets nothing more")
def nothing_more(context):
    runner = context.platform.runners[0]
    wait_until(lambda: _spared(context, runner), "a drained runner that gets nothing")


def _spared(context, runner):
    before = len(runner.ran)
    for number in range(6):
        gateway = "gateway-1" if number % 2 else "gateway-2"
        assert _served(context, "/safe/1", f"after-{number}", gateway)[0] == 200
    return len(runner.ran) == before


@when("a gateway gets SIGTERM with a slow stream under way")
def terminate(context):
    platform = context.platform
    platform.runners[1].event_pause_s = 0.3
    context.slow = []
    thread = threading.Thread(
        target=lambda: context.slow.append(_served(context, "/stream/3", "stream-3", "gateway-2"))
    )
    ran = len(platform.runners[1].ran)
    thread.start()
    wait_until(lambda: len(platform.runners[1].ran) > ran, "the stream under way")
    platform.terminate("gateway-2")
    wait_until(lambda: not platform.is_ready("gateway-2"), "not ready")
    thread.join()


@then("the stream arrives whole and the gateway ends by itself with code 0")
def stream_finished(context):
    assert context.slow[0][:2] == (200, WHOLE_STREAM), context.slow
    process = context.platform.nodes["gateway-2"].process
    wait_until(lambda: process.poll() is not None, "the gateway's end")
    assert process.returncode == 0, process.returncode


@then("the course of the broken stream can be followed in the logs")
def broken_stream_logged(context):
    logs = [str(context.platform.log_path(name)) for name in context.platform.nodes]
    finished = rainsail_here(["story", "stream-2", *logs])
    assert finished.code == 0, finished
    assert "attempt_broke" in finished.stdout and "request_completed" in finished.stdout, finished
    assert "last_event=2" in finished.stdout, finished.stdout
    missing = rainsail_here(["story", "no-such-request", *logs])
    assert missing.code != 0, missing


# --- settings ------------------------------------------------------------------------------


@when("the adapter's program is started on a settings file cut short")
def start_cut_short(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.toml"
        path.write_text('[node]\nname = "n"\nrole = ')
        log = Path(folder) / "log"
        process = StandInPlatform.spawn(path, log)
        context.exit_code = process.wait(timeout=40)
        context.lines = [json.loads(line) for line in log.read_text().splitlines()]


@then('it ends with code {code:d} and one JSON line naming the step "{step}"')
def ended(context, code, step):
    assert context.exit_code == code, context.exit_code
    assert len(context.lines) == 1 and step in context.lines[0]["fault"], context.lines


@then("a request with an unknown key is answered 401 and runs nowhere")
def unknown_key(context):
    platform = context.platform
    before = sum(len(runner.ran) for runner in platform.runners)
    for path in ("/safe/x", "/stream/x"):
        key = {"Authorization": "Token nobody", "Request_Id": "unknown-key"}
        status, body, _ = platform.client("gateway-2", "POST", path, b"x", **key)
        assert (status, body) == (401, b""), (status, body)
    status, _, _ = platform.client("gateway-1", "GET", "/api/lots/x", Authorization="Token nobody")
    assert status == 401, status
    assert sum(len(runner.ran) for runner in platform.runners) == before


@then("no runner saw a key, and each request and item came in its tenant's name")
def named(context):
    assert any(runner.ran for runner in context.platform.runners)
    assert [runner.misnamed for runner in context.platform.runners] == [[], []]


# --- draining a zone ---------------------------------------------------------------------------


def _ran_counts(context, count, prefix):
    """Send safe requests sequentially; return how many each runner has run."""
    platform = context.platform
    before = [len(runner.ran) for runner in platform.runners]
    for number in range(count):
        status, _, _ = _served(context, f"/safe/{number}", f"{prefix}-{number}")
        assert status == 200, status
    return [len(r.ran) - b for r, b in zip(platform.runners, before, strict=True)]


@when("the operator drains the zone of the runner that requests go to")
def drain_zone(context):
    platform = context.platform
    counts = _ran_counts(context, 8, "before")
    context.drained = platform.runners[counts.index(max(counts))]
    assert platform.runners[0].zone != platform.runners[1].zone
    assert platform.drain_zone(context.drained.zone) == 200
    wait_until(
        lambda: all(platform.metric(n, "zones_draining") == 1 for n in platform.nodes),
        "every node obeys",
    )


@then("all requests go to the other runner, and the nodes' metrics and logs say why")
def go_to_other(context):
    platform = context.platform
    counts = _ran_counts(context, 8, "drained")
    assert counts[platform.runners.index(context.drained)] == 0, counts
    for name in platform.nodes:
        events = [line.get("event") for line in platform.log_lines(name)]
        assert "zone_drain_obeyed" in events, name


@when("the operator ends the drain")
def end_drain(context):
    platform = context.platform
    assert platform.end_drain(context.drained.zone) == 200
    wait_until(
        lambda: all(platform.metric(n, "zones_draining") == 0 for n in platform.nodes),
        "every node obeys",
    )


@then("that runner gets requests again")
def gets_again(context):
    counts = _ran_counts(context, 8, "after")
    assert counts[context.platform.runners.index(context.drained)] > 0, counts


@then("an order on an unknown zone is answered 404")
def unknown_zone(context):
    assert context.platform.control("POST", "/api/Evacuate.Start/nowhere")[0] == 404
