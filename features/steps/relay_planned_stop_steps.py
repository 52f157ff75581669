"""Steps on requests at a relaying gateway that is being stopped, in virtual time."""

from behave import given, then, when
from features.support.relaying import EVENT_STREAM_FIELDS, event
from features.support.stopping_gateway import ANSWERS_S, StoppingGateway, own_id

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


@given('its latest "{kind}" requests took {took_s:g} s')
def requests_took(context, kind, took_s):
    context.gateway.serve_one(kind, took_s)


@when('SIGTERM comes, and a client\'s "{kind}" request is complete {since_s:g} s after it')
def complete_late(context, kind, since_s):
    _complete_late(context, kind, since_s, None)


@when(
    'SIGTERM comes, and a client\'s "{kind}" request with a deadline of {deadline_s:g} s '
    "is complete {since_s:g} s after it"
)
def complete_with_deadline(context, kind, deadline_s, since_s):
    _complete_late(context, kind, since_s, deadline_s)


def _complete_late(context, kind, since_s, deadline_s):
    gateway = context.gateway
    gateway.stop()
    gateway.pass_until(since_s)
    context.sent_before = len(gateway.calls)
    context.exchange = gateway.ask(kind, deadline_s)


@when("its runner turns it away {later_s:g} s later")
def turned_away(context, later_s):
    context.gateway.clock.advance(later_s)
    call = context.gateway.calls[-1]
    call.answer(503, b"", (b"Rainsail-Not-Run", b"1"), *own_id(call))


@when("its runner's connection ends {later_s:g} s later")
def connection_ends(context, later_s):
    context.gateway.clock.advance(later_s)
    context.gateway.calls[-1].listener.answer_failed("reset")


@when("its runner is silent for as long as the grace time lasts")
def silent(context):
    context.gateway.pass_until(ANSWERS_S)


@then('the request is refused, and its client may retry after "{after_s}" s')
def refused_with_delay(context, after_s):
    refused_without_send(context)
    retry_after = context.gateway.retry_after(context.exchange)
    assert retry_after == after_s, retry_after


@then("the request was sent to one runner only")
def sent_once(context):
    assert len(context.gateway.calls) == context.sent_before + 1


@then("the request is sent to a runner")
def sent(context):
    assert len(context.gateway.calls) == context.sent_before + 1
    assert not context.exchange.status, context.exchange


@then("the request is refused without a send")
def refused_without_send(context):
    assert len(context.gateway.calls) == context.sent_before
    exchange = context.exchange
    assert (exchange.status, exchange.ended) == (503, True), exchange
    assert context.exchange.answered_at_s <= context.gateway.clock.seconds()
    page = context.gateway.metrics.exposition().decode()
    assert "requests_refused_by_stop_total" in page
    lines = [each for each in context.log if each["message"] == "request_refused"]
    assert [line["extra"]["grace_left_ms"] >= 0 for line in lines] == [True], lines


@when(
    'SIGTERM comes, and the body of a client\'s "{kind}" request still arrives {since_s:g} s '
    "after it"
)
def body_arrives(context, kind, since_s):
    gateway = context.gateway
    gateway.stop()
    gateway.pass_until(since_s)
    retry_after_s = gateway.gateway.lost_retry_after_s(gateway.arriving(kind))
    context.is_lost = retry_after_s is not None


@then("the request is read on")
def read_on(context):
    assert not context.is_lost


@then("the request is refused")
def refused_early(context):
    assert context.is_lost
    lines = [each for each in context.log if each["message"] == "request_refused"]
    assert [line["extra"]["request"] for line in lines] == ["arriving"], lines
