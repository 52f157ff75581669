"""Steps on requests at a relaying gateway that is being stopped, in virtual time."""

from behave import given, then, when
from features.support.relaying import EVENT_STREAM_FIELDS, event
from features.support.stopping_gateway import StoppingGateway, own_id

from rainsail.http.client import AnswerHead
from rainsail.logs import logger


@given("a gateway with runners that is about to stop")
def make_gateway(context):
    context.gateway = StoppingGateway()
    context.log = []
    added = logger.add(lambda message: context.log.append(message.record))
    context.add_cleanup(logger.remove, added)


@when('a client sends a "{kind}" request, which no runner has answered yet')
def send(context, kind):
    context.exchange = context.gateway.ask(kind)
    assert len(context.gateway.calls) == 1, context.gateway.calls


@when("a client sends a request on an unknown path")
def send_unknown(context):
    context.exchange = context.gateway.ask("", path="/unknown/1")
    assert not context.gateway.calls


@when("the runner has sent {count:d} events")
def events_sent(context, count):
    call = context.gateway.calls[-1]
    head = AnswerHead(200, (*EVENT_STREAM_FIELDS, *own_id(call)))
    call.listener.answer_begun(head)
    for number in range(1, count + 1):
        call.listener.answer_data(event(number))


@when("the grace time of the gateway is over")
def grace_over(context):
    context.gateway.gateway.end_requests()


@then("the client has a complete answer of status {status:d}, which promises nothing")
def answered(context, status):
    exchange = context.exchange
    assert (exchange.status, exchange.ended) == (status, True), exchange
    assert context.gateway.retry_after(exchange) is None


@then(
    "the client has a complete answer of status {status:d}, and may go to another gateway at once"
)
def refused(context, status):
    exchange = context.exchange
    assert (exchange.status, exchange.ended) == (status, True), exchange
    assert context.gateway.retry_after(exchange) == "0", exchange.headers


@then("the runner's work on it is cancelled")
def cancelled(context):
    assert [call.cancelled for call in context.gateway.calls] == [True]


@then('the log and a metric tell that the stop has ended the "{kind}" request')
def told(context, kind):
    lines = [each for each in context.log if each["message"] == "request_ended_by_stop"]
    assert [line["extra"]["request"] for line in lines] == ["request-1"], lines
    route_kind = "stream" if kind == "resumable" else kind
    page = context.gateway.metrics.exposition().decode()
    counted = f'requests_ended_by_stop_total{{kind="{route_kind}",outcome="failed"}} 1.0'
    assert counted in page, page


@then("the client's stream is broken off after event {last:d}")
def stream_broken_off(context, last):
    exchange = context.exchange
    assert exchange.aborted and not exchange.ended
    assert exchange.body == b"".join(event(number) for number in range(1, last + 1))
