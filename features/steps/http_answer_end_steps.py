"""Steps on the ends of answers: what stands behind them, in reads, queues and sockets."""

import socket

from behave import given, step, then
from features.steps.http_connection_steps import SocketTransport, call_with, is_whole
from features.steps.http_runner_answer_steps import close_all, send_all

from rainsail.logs import logger


@given("an HTTP client connection with a HEAD request under way")
def head_call(context):
    call_with(context, b"HEAD")


@given("an HTTP client connection with a request under way, over a socket")
def socket_call(context):
    context.http_server_end, client_end = socket.socketpair()
    context.add_cleanup(context.http_server_end.close)
    context.add_cleanup(client_end.close)
    call_with(context, b"GET", SocketTransport(client_end))


@step('the other side\'s bytes "{text}" have arrived at the socket')
def bytes_arrived(context, text):
    context.http_server_end.sendall(text.encode())


@then("the answer is whole without a body")
def whole_without_body(context):
    is_whole(context, "")


@step('each runner sends {count:d} chunks of 2 bytes, their end and "{behind}"')
def send_chunks_and(context, count, behind):
    send_all(context, b"2\r\nxx\r\n" * count + b"0\r\n\r\n" + behind.encode())


@step('each runner sends {count:d} lines in one chunk, the end of its answer and "{behind}"')
def send_lines_and(context, count, behind):
    data = b"\n" * count
    send_all(context, b"%x\r\n%s\r\n0\r\n\r\n" % (count, data) + behind.encode())


@step("each runner closes in order")
def close_each(context):
    close_all(context, "in order")


@then("the answer has brought nothing so far")
def brought_nothing(context):
    has_brought(context, "")


@then('the answer has brought "{text}" so far')
def has_brought(context, text):
    assert context.http_listener.body == text.encode(), context.http_listener.body


@step("each runner sends the first {count:d} of {size:d} bytes of a chunk")
def send_begin(context, count, size):
    send_all(context, b"%x\r\n" % size + b"x" * count)


@step("each runner sends the next {count:d} bytes of its chunk")
def send_next(context, count):
    send_all(context, b"x" * count)


@then("each call has got {count:d} bytes so far")
def got_so_far(context, count):
    assert {each.answer.size for each in context.calls} == {count}


@step('each runner sends "{text}" behind its answer, and the log is kept')
def send_late(context, text):
    context.late_records = []
    sink = logger.add(lambda message: context.late_records.append(message.record))
    context.add_cleanup(logger.remove, sink)
    send_all(context, text.encode())


@then('the log has {count:d} lines "{event}" of the level {level}, each with {size:d} bytes')
def has_late_lines(context, count, event, level, size):
    lines = [each for each in context.late_records if each["message"] == event]
    found = {(each["extra"]["address"], each["extra"]["bytes"]) for each in lines}
    assert found == {(each.address, size) for each in context.calls}, found
    assert len(lines) == count and {each["level"].name for each in lines} == {level}, lines


@then("{count:d} answers count as followed by bytes that begin no other answer")
def counted_late(context, count):
    assert context.calls_pool.answers_with_late_bytes == count
