"""Steps on prompt parts that end runners, with the adapter's real processes."""

import itertools
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from features.support.platform_stand_in import wait_until

GATEWAYS = ("gateway-1", "gateway-2", "gateway-3")
ENDS_TO_KNOW = 5
CONTACT_S = 3.0
ROUND_S = 0.25
SOUND_BEFORE = 24
SOUND_IN_ROUND = 2
MIN_SHARE = 0.5
PATHS = ("/safe/1", "/stream/1")


@given("{count:d} runners that end at the prompt parts {parts}")
def add_runners(context, count, parts):
    context.parts = parts.split(",")
    for _ in range(count):
        context.platform.add_runner().fatal_parts = frozenset(context.parts)
    context.numbers = itertools.count(1)
    context.pool = ThreadPoolExecutor(16)
    context.add_cleanup(context.pool.shutdown)


def _send(context, gateway, prompt):
    number = next(context.numbers)
    return context.platform.client(
        gateway,
        "POST",
        PATHS[number % 2],
        f"body {number}".encode(),
        Request_Id=f"part-{number}",
        Prompt_Prefix=prompt.replace("{n}", f"{number:04d}"),
    )[0]


@when('sound requests with the prompt "{prompt}" are served at each gateway')
def sound_served(context, prompt):
    context.sound = prompt
    for name in GATEWAYS:
        wait_until(lambda name=name: context.platform.is_ready(name), f"{name} ready")
        wait_until(lambda name=name: _send(context, name, prompt) == 200, "served")
    _beat_all(context)
    statuses = [_send(context, GATEWAYS[n % 3], prompt) for n in range(SOUND_BEFORE)]
    context.before = sum(status == 200 for status in statuses) / len(statuses)


def _beat_all(context):
    for runner in context.platform.runners:
        if not runner.is_down:
            context.platform.beat(runner)


def _round(context, number):
    """Send each fatal prompt once, and sound requests beside them; return the latter's results."""
    gateway = GATEWAYS[number % 3]
    for prompt in context.prompts:
        context.pool.submit(_send, context, gateway, prompt)
    sound = [
        context.pool.submit(_send, context, GATEWAYS[(number + each) % 3], context.sound)
        for each in range(SOUND_IN_ROUND)
    ]
    time.sleep(ROUND_S)
    return sound


def _ends(context, part):
    runners = context.platform.runners
    return sorted(at_s for runner in runners for each, at_s in runner.ends if each == part)


def _is_held(context):
    held = context.platform.metric("controller-1", "requests_held")
    return held >= len(context.parts)


@when(
    "{prompts} come at each gateway in turn, beside sound ones, "
    "until each part has ended five runners or is held"
)
def come_until_known(context, prompts):
    context.prompts = prompts.split(" ")
    context.rounds = itertools.count()

    def known():
        _round(context, next(context.rounds))
        return _is_held(context) or all(
            len(_ends(context, part)) >= ENDS_TO_KNOW for part in context.parts
        )

    wait_until(known, "each part is known")
    context.known_s = time.monotonic()


@then(
    "later than 3 s after that at most {most:d} more runs of each part begin "
    "within {rounds:d} further rounds"
)
def few_late_runs(context, most, rounds):
    results = []
    late_s = context.known_s + CONTACT_S
    for _ in itertools.count():
        sound = _round(context, next(context.rounds))
        if time.monotonic() < late_s + CONTACT_S:
            continue
        results += sound
        if len(results) >= rounds * SOUND_IN_ROUND:
            break
    context.after = sum(each.result() == 200 for each in results) / len(results)
    runs = [run for runner in context.platform.runners for run in runner.part_runs]
    for part in context.parts:
        late = [at_s for each, at_s in runs if each == part and at_s > late_s]
        ends = len(_ends(context, part))
        assert len(late) <= most, f"{part}: {len(late)} late runs, {ends} ends"


@then("of the sound requests sent meanwhile at least half as many are served as before")
def sound_still_served(context):
    assert context.after >= MIN_SHARE * context.before, (context.before, context.after)
