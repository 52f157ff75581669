"""Steps for API keys at a gateway."""

import json
import random

from behave import given, then, when
from features.support.keyed_gateway import (
    KEY,
    OTHER_KEY,
    TENANTS,
    KeyedGateway,
    bearer,
    table_content,
)

from rainsail.fleet_api.tables import read_table

KEYS = {"a": KEY, "b": OTHER_KEY}
TENANT_FIELD = b"rainsail-tenant"


@given("a gateway whose table has tenants")
def keyed(context):
    context.keyed = KeyedGateway()
    context.keyed.put_table(1, TENANTS)


@given("a gateway whose table has tenants and which trusts keys for {seconds:g} seconds")
def keyed_closed(context, seconds):
    context.keyed = KeyedGateway(keys_trusted_s=seconds)
    context.keyed.put_table(1, TENANTS)


@given("a gateway that knows no table yet")
def without_table(context):
    context.keyed = KeyedGateway()


@given("a gateway whose table has no tenants")
def without_tenants(context):
    context.keyed = KeyedGateway()
    context.keyed.put_table(1)


def _fields(text):
    pairs = [each.partition(":") for each in text.split(";")]
    return [(name.strip().encode(), value.strip().encode()) for name, _, value in pairs]


@when('a client sends a request with the key of tenant "{tenant}"')
def send(context, tenant):
    context.exchange = context.keyed.request(bearer(KEYS[tenant]))


@when('a client sends "{fields}" with the key of tenant "{tenant}"')
def send_with(context, tenant, fields):
    context.exchange = context.keyed.request(bearer(KEYS[tenant]), *_fields(fields))


@when('a client sends a request with the fields "{fields}"')
def send_fields(context, fields):
    context.exchange = context.keyed.request(*_fields(fields))


@when('a client sends a request to the public route with the key of tenant "{tenant}"')
def send_public(context, tenant):
    context.exchange = context.keyed.request(bearer(KEYS[tenant]), path=b"/open/1")


@when('a client sends {count:d} requests with the key of tenant "{tenant}"')
def send_many(context, count, tenant):
    for number in range(count):
        name = f"r-{number}".encode()
        context.exchange = context.keyed.request(bearer(KEYS[tenant]), request=name)


@when('the keys of tenant "{tenant}" are removed')
def take_away(context, tenant):
    left = [{**each, "keys": []} if each["name"] == tenant else each for each in TENANTS]
    context.keyed.put_table(2, left)


@when("the runner's connection breaks during the request")
def breaks(context):
    context.keyed.calls[-1].listener.answer_failed("connection reset")


@when("{count:d} random credentials are sent")
def fuzz(context, count):
    draw = random.Random(7)
    alphabet = [bytes((code,)) for code in (*range(0x20, 0x7F), 0x09, *range(0x80, 0x100))]
    context.statuses = []
    for _ in range(count):
        text = b"".join(draw.choices(alphabet, k=draw.randrange(40)))
        words = [b"Bearer ", b"bearer\t", b"", b"Bearer  ", b" Bearer "]
        key = draw.choice((text, KEY.encode()[: draw.randrange(9)] + text, KEY.encode() + b" x"))
        exchange = context.keyed.request((b"Authorization", draw.choice(words) + key))
        context.statuses.append(exchange.status)


@when("an operator sends a table whose tenants are {defect}")
def spoil(context, defect):
    first, second = json.loads(json.dumps(TENANTS))
    match defect:
        case "two with one key":
            second["keys"] = [KEY]
        case "two of one name":
            second["name"] = "a"
        case "one without a name":
            first["name"] = ""
        case "one with a rate below 0":
            first["rate_per_s"] = -1
        case "one with a key of two lines":
            first["keys"] = [f"{KEY}\n"]
        case "one whose key is a number":
            first["keys"] = [1234567]
        case _:
            raise AssertionError(defect)
    context.read = read_table(table_content(1, [first, second]))


@then('a runner got it as tenant "{tenant}", without any key')
def got_as(context, tenant):
    _check_sent(context.keyed.calls, [tenant.encode()])


@then("a runner got it as no tenant, without any key")
def got_as_none(context):
    _check_sent(context.keyed.calls, [])


def _check_sent(calls, tenants):
    (call,) = calls
    fields = call.request.headers
    assert [value for name, value in fields if name.lower() == TENANT_FIELD] == tenants, fields
    assert not [name for name, _ in fields if name.lower() == b"authorization"], fields
    assert not any(KEY.encode() in value for _, value in fields), fields


@then('a runner got the field "{name}" as "{value}"')
def got_field(context, name, value):
    (call,) = context.keyed.calls
    assert (name.encode(), value.encode()) in call.request.headers, call.request.headers


@then("the client gets {status:d} immediately, and no runner got anything")
def refused(context, status):
    exchange = context.exchange
    assert exchange.status == status and exchange.ended, exchange
    assert exchange.answered_at_s == exchange.request.received_s
    assert context.keyed.calls == []


@then('the request went to a second runner as tenant "{tenant}"')
def second_runner(context, tenant):
    assert len(context.keyed.calls) == 2
    _check_sent(context.keyed.calls[1:], [tenant.encode()])


@then('a further request with the key of tenant "{tenant}" gets {status:d}')
def further(context, tenant, status):
    assert context.keyed.request(bearer(KEYS[tenant])).status == status


@then('it is refused naming "{name}", and no key is in the fault')
def refused_naming(context, name):
    assert context.read.is_error()
    detail = str(context.read.error)
    assert name in detail, detail
    assert KEY not in detail and OTHER_KEY not in detail and "1234567" not in detail, detail


@then("each got 401, and no runner got anything")
def each_refused(context):
    assert set(context.statuses) == {401}, set(context.statuses)
    assert context.keyed.calls == []


@then("the last of them gets 429 and a retry time, and was not sent")
def over_quota(context):
    exchange = context.exchange
    assert exchange.status == 429, exchange
    fields = {name.lower(): value for name, value in exchange.headers}
    assert 0 < float(fields[b"retry-after"]) <= 1.0, fields
    assert len(context.keyed.calls) == 1, context.keyed.calls


# --- before the first table ------------------------------------------------------------------


@when("{seconds:g} seconds pass at the gateway without a table")
def early_time(context, seconds):
    context.keyed.clock.advance(seconds)


@when("{count:d} clients send requests before the table is there")
def send_early(context, count):
    context.early = [
        context.keyed.request(bearer(KEY), request=f"r-{number}".encode())
        for number in range(count)
    ]


@when("{count:d} clients send requests of {size:d} MiB before the table is there")
def send_large_early(context, count, size):
    context.early = [
        context.keyed.request(
            bearer(KEY), request=f"r-{number}".encode(), body=b"x" * size * 1024 * 1024
        )
        for number in range(count)
    ]


@when("the first of them leaves")
def first_leaves(context):
    context.early.pop(0).left()


@when("the table is there")
def table_comes(context):
    context.keyed.put_table(1, TENANTS)


@then("no early client has an answer yet")
def none_answered(context):
    assert not any(exchange.status for exchange in context.early)


@then("{count:d} requests have gone to runners")
def gone_to_runners(context, count):
    context.keyed.clock.advance(0.01)
    assert len(context.keyed.calls) == count, len(context.keyed.calls)


@then("each early client has 503 with a time to come back")
def early_refused(context):
    for exchange in context.early:
        assert exchange.status == 503 and dict(exchange.headers).get(b"Retry-After"), exchange


@then("the client has 503 and never 401, and no runner got anything")
def refused_later(context):
    assert context.exchange.status == 503, context.exchange
    assert not context.keyed.calls
