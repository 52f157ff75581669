"""Steps on crowds of clients outside the limits, at real processes with little memory."""

import itertools
import signal

from behave import given, step, then, when
from features.support.crowd_clients import (
    BODY_BYTES,
    ENDLESS_BYTES,
    KIBIBYTE,
    MEBIBYTE,
    Crowd,
    Plan,
    announced,
    asks,
    chunked,
    extended_chunks,
    half_head,
    unframed,
)
from features.support.crowd_soak import CrowdSoak
from features.support.crowded_platform import CrowdedPlatform, settle
from features.support.platform_stand_in import (
    CONTROL_PORT,
    METRICS_PORT,
    READY_PORT,
    wait_until,
)

SAFE = "/safe/crowd"
STREAM = "/stream/crowd"
LARGE_ANSWER = f"/safe/large/{8 * MEBIBYTE}"
JOB_BYTES = 3_900_000
GIGABYTE = 1_000_000_000
TINY_CHUNKED_BYTES = 512 * KIBIBYTE
AHEAD_BYTES = 250_000
REQUESTS_BESIDE = 20
PORTS = {"control": CONTROL_PORT, "metrics": METRICS_PORT, "readiness": READY_PORT}

KINDS = {
    "announce a gigabyte and send it": Plan(announced(SAFE, GIGABYTE, ENDLESS_BYTES), returns=2),
    "announce a gigabyte, send it and read nothing": Plan(
        announced(SAFE, GIGABYTE, ENDLESS_BYTES), reads="nothing", returns=2
    ),
    "announce a gigabyte and wait to be asked for it": Plan(
        announced(SAFE, GIGABYTE, 0, expects=True)
    ),
    "send chunks without end": Plan(chunked(SAFE, ENDLESS_BYTES, 64 * KIBIBYTE), returns=2),
    "stop a kilobyte short of the limit": Plan(
        chunked(SAFE, BODY_BYTES - KIBIBYTE, KIBIBYTE), returns=2
    ),
    "stop a byte short of the length": Plan(announced(SAFE, BODY_BYTES, BODY_BYTES - 1), returns=2),
    "send whole bodies at the limit": Plan(announced(SAFE, BODY_BYTES, BODY_BYTES), returns=2),
    "send tiny chunks": Plan(chunked(SAFE, TINY_CHUNKED_BYTES, 2)),
    "send chunk extensions and trailers without end": Plan(extended_chunks(SAFE, 2 * MEBIBYTE)),
    "send a body that the head does not announce": Plan(unframed(SAFE, ENDLESS_BYTES), returns=2),
    "read nothing of large answers": Plan(asks(LARGE_ANSWER), reads="nothing"),
    "read large answers slowly": Plan(asks(LARGE_ANSWER), reads="slowly"),
    "send ahead of the answers to their streams": Plan(asks(STREAM, AHEAD_BYTES)),
    "send nothing": Plan(half_head(SAFE, 0), returns=2),
    "send half a head": Plan(half_head(SAFE, 8 * KIBIBYTE), returns=2),
}


@given("a platform of small machines with {runners:d} runners")
def start(context, runners):
    _start(context, CrowdedPlatform(3, 3, 1), runners)


@given("a platform of small machines with {runners:d} runners and {descriptors:d} descriptors")
def start_with_descriptors(context, runners, descriptors):
    context.descriptors = descriptors
    _start(context, CrowdedPlatform(3, 3, 1, descriptors=descriptors), runners)


def _start(context, platform, runners):
    context.platform = platform
    context.add_cleanup(platform.close)
    context.crowds = []
    context.add_cleanup(lambda: [crowd.close() for crowd in context.crowds])
    wait_until(lambda: platform.control("GET", "/api/Config.Read")[0] == 503, "controllers")
    for _ in range(runners):
        platform.add_large_runner()
    platform.configure()
    wait_until(lambda: platform.is_ready("gateway-1"), "gateway-1 ready")
    platform.ordinary("gateway-1")


@step("{count:d} clients {kind} at the gateway")
def crowd_comes(context, count, kind):
    _add_crowd(context, Crowd(context.platform.nodes["gateway-1"].ip, [KINDS[kind]] * count))


@step("clients of every kind come to the gateway, {count:d} of each")
def crowd_of_all_kinds(context, count):
    plans = list(itertools.chain(*([plan] * count for plan in KINDS.values())))
    _add_crowd(context, Crowd(context.platform.nodes["gateway-1"].ip, plans))


@step("{count:d} clients {kind} at the {port} port of {node}")
def crowd_at_port(context, count, kind, port, node):
    ip = context.platform.nodes[node].ip
    _add_crowd(context, Crowd(ip, [KINDS[kind]] * count, PORTS[port]))


@step("{count:d} jobs at the limit come to the gateway at once")
def crowd_of_jobs(context, count):
    platform = context.platform
    plans = []
    for number in range(count):
        body = platform.large_job(f"crowd-job-{number}", JOB_BYTES)
        plans.append(Plan(_job_payload(f"crowd-job-{number}", body)))
    _add_crowd(context, Crowd(platform.nodes["gateway-1"].ip, plans))
    crowd = context.crowds[-1]
    wait_until(lambda: all(each.received or each.is_closed for each in crowd.clients), "answers")


def _job_payload(job, body):
    framed = announced(f"/jobs/{job}", len(body), 0)

    def payload(request):
        yield from framed(job)
        yield body

    return payload


def _add_crowd(context, crowd):
    context.crowds.append(crowd)


@step("the crowd has done what it came for")
def crowd_settled(context):
    for crowd in context.crowds:
        settle(crowd)


@step("ordinary requests are answered beside it")
def ordinary_beside(context):
    for _ in range(REQUESTS_BESIDE):
        context.platform.ordinary("gateway-1")


@step("the crowd leaves")
def crowd_leaves(context):
    for crowd in context.crowds:
        crowd.close()


@step("{count:d} whole bodies at the limit are answered, one after the other")
def whole_bodies(context, count):
    for _ in range(count):
        context.platform.ordinary("gateway-1", b"w" * BODY_BYTES)


@step("{count:d} jobs at the limit are accepted, one after the other")
def whole_jobs(context, count):
    platform = context.platform
    for number in range(count):
        job = f"calm-job-{number}"
        body = platform.large_job(job, JOB_BYTES)

        def accepted(job=job, body=body):
            path = f"/jobs/{job}"
            return platform.client("gateway-1", "POST", path, body, Request_Id=job)[0] == 202

        wait_until(accepted, f"{job} accepted")


@step("a runner refuses whole bodies at the limit, and another one answers them")
def retried_bodies(context):
    first, *_ = context.platform.runners
    for _ in range(5):
        first.refuse = 1
        context.platform.ordinary("gateway-1", b"w" * BODY_BYTES)


@step("no runner takes work")
def no_runner(context):
    for runner in context.platform.runners:
        runner.refuse = 1_000_000


@step("runners take work again")
def runners_again(context):
    for runner in context.platform.runners:
        runner.refuse = 0


@step("the gateway's process is killed and starts again beside it")
def restart_killed(context):
    context.platform.kill("gateway-1")
    context.platform.start("gateway-1")
    wait_until(lambda: context.platform.is_ready("gateway-1"), "gateway-1 ready again")


@step("the gateway's process is told to stop")
def planned_stop(context):
    context.platform.signal("gateway-1", signal.SIGTERM)


@then("the gateway's process ends by itself with code 0")
def ended(context):
    process = context.platform.nodes["gateway-1"].process
    wait_until(lambda: process.poll() is not None, "the end of gateway-1")
    assert process.returncode == 0, process.returncode


@then("every process lives within its machine's memory")
def within_memory(context):
    platform = context.platform
    peaks = {}
    for name in platform.nodes:
        assert platform.is_alive(name), f"{name} has ended"
        peaks[name] = round(platform.peak_mb(name), 1)
    over = {
        name: peak
        for name, peak in peaks.items()
        if peak > platform.memory_mb[name.partition("-")[0]]
    }
    assert not over, f"over the machine's memory: {over} of {peaks}"


@then("the gateway has stayed under its descriptors")
def within_descriptors(context):
    most = context.platform.most_descriptors
    assert most < context.descriptors, most


@then("an ordinary request is answered afterwards")
def ordinary_afterwards(context):
    context.platform.ordinary("gateway-1")


@then("the operator reads the configuration at every controller")
def controlled(context):
    wait_until(context.platform.is_controlled, "every controller answers")


@then("{count:d} of the clients were refused with {status:d}")
def refused(context, count, status):
    wait_until(
        lambda: context.crowds[-1].statuses().count(status) >= count, f"{count} answers {status}"
    )


@when("a soak with crowds of seed {seed:d} does {actions:d} actions")
def soak(context, seed, actions):
    context.crowd_soak = CrowdSoak(seed, KINDS)
    context.add_cleanup(context.crowd_soak.close)
    context.crowd_soak.run(actions)


@then("every process stayed within its machine's memory, and ended only when it was told to")
def soak_held(context):
    assert not context.crowd_soak.problems, (context.crowd_soak.problems, context.crowd_soak.course)
