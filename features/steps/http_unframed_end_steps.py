"""Steps on the ends of unframed answers: a pool, and the processes of a server, in memory."""

from dataclasses import dataclass, field

from behave import given, step, then
from features.support.server_processes import ProcessReactor

from rainsail.http.client import CONNECTION_ENDS, Framing, OutgoingRequest
from rainsail.http.pool import ConnectionPool, PoolSettings
from rainsail.logs import logger
from rainsail.simulation.clock import VirtualClock

ADDRESS = "10.0.0.1:80"
EARLIER_S = 1.0
"""How long the connections have been open when the answer begins, and when it ends."""
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
IN_CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
MILLISECONDS_PER_S = 1000


@dataclass
class _Answer:
    """Records one answer."""

    body: bytes = b""
    framing: Framing | None = None
    ends: list[str] = field(default_factory=list)

    def answer_begun(self, head):
        """Record what marks the end."""
        self.framing = head.framing

    def answer_data(self, data):
        """Record a piece of the body."""
        self.body += data

    def answer_ended(self):
        """Record the end."""
        self.ends.append("whole")

    def answer_failed(self, reason):
        """Record the failure."""
        self.ends.append(reason)

    def request_unsent(self, reason):
        """Every request is sent."""
        raise AssertionError(reason)


class _TurningClock(VirtualClock):
    """Virtual time in which a call without delay takes a turn of the reactor."""

    turn_s = 0.0

    def callLater(self, delay, callable, *arguments, **keywords):
        """Call after a delay, or in the next turn."""
        return super().callLater(delay or self.turn_s, callable, *arguments, **keywords)


def _send(context, method=b"GET"):
    """Send a request over a new connection; return its answer, its call and the server's end."""
    answer = _Answer()
    request = OutgoingRequest(method, b"/x", ((b"Host", b"a"),), b"")
    call = context.pool.send(ADDRESS, request, answer, fresh=True)
    context.pool_clock.advance(0.01)
    connection = context.reactor.asked()[-1]
    return answer, call, connection


@given("a server with {others}")
def make_server(context, others):
    context.pool_clock = _TurningClock()
    context.reactor = ProcessReactor(context.pool_clock)
    context.pool = ConnectionPool(context.reactor, context.pool_clock, PoolSettings())
    context.log_records = []
    sink = logger.add(lambda message: context.log_records.append(message.record), level="INFO")
    context.add_cleanup(logger.remove, sink)
    count, _, kind = others.partition(" ")
    context.others = []
    for _ in range(0 if count == "no" else int(count)):
        answer, _, connection = _send(context)
        if kind.startswith("other unframed"):
            connection.send(UNFRAMED + b"part")
        elif kind.startswith("other answer in chunks"):
            connection.send(IN_CHUNKS)
        context.others.append((answer, connection))
    if kind.startswith("idle"):
        for _, connection in context.others:
            connection.send(WITH_LENGTH)
    context.pool_clock.advance(EARLIER_S)


@given('an unframed answer under way of which "{part}" has come')
def begin_answer(context, part):
    context.answer, context.call, context.connection = _send(context)
    context.connection.send(UNFRAMED + part.encode())
    context.pool_clock.advance(EARLIER_S)
    assert context.answer.framing == Framing.CLOSE and not context.answer.ends


@given("a later request that is not answered, and whose connection the end of the process resets")
def leave_unanswered(context):
    context.reactor.resetting.append(_send(context)[2])


def _end_process(context, afterwards, unnoticed=None):
    back_after_s = None
    if afterwards == "its address is silent":
        context.reactor.silent.add(ADDRESS)
    elif afterwards == "another one listens at once":
        back_after_s = 0
    elif afterwards != "its address refuses":
        words = afterwards.split()
        assert words[:4] == ["another", "one", "listens", "after"] and words[5] == "ms"
        back_after_s = int(words[4]) / MILLISECONDS_PER_S
    context.reactor.end_process(ADDRESS, back_after_s, unnoticed)


@step("the server's process ends and {afterwards}")
def end_process(context, afterwards):
    _end_process(context, afterwards)


@step(
    "reading is paused, the server's process ends unnoticed on the answer's connection, "
    "and another one listens"
)
def end_process_paused(context):
    context.call.set_paused(True)
    _end_process(context, "another one listens after 100 ms", context.connection)
    context.pool_clock.advance(EARLIER_S)
    context.others.append((None, _send(context)[2]))


@step("reading goes on, and the close is noticed")
def notice_close(context):
    context.call.set_paused(False)
    context.connection.close(by_reset=False)


@step("a server sends {count:d} interim answers and an unframed one in one read, and closes")
def send_interim(context, count):
    context.answer, context.call, context.connection = _send(context)
    interim = b"HTTP/1.1 100 Continue\r\n\r\n" * count
    context.connection.send(interim + UNFRAMED + b"all of it")
    context.connection.close(by_reset=False)


@step("the server's process ends unnoticed by the answer, and {afterwards}")
def end_process_unnoticed(context, afterwards):
    _end_process(context, afterwards, context.connection)


@step("{ms:d} milliseconds later the server's process ends and {afterwards}")
def end_process_later(context, ms, afterwards):
    context.pool_clock.advance(ms / MILLISECONDS_PER_S)
    _end_process(context, afterwards)


@step("the server closes the answer's connection in order")
def close_connection(context):
    context.connection.close(by_reset=False)


@step("the server closes its idle connections in order")
def close_idle(context):
    for _, connection in context.others:
        connection.close(by_reset=False)


@step("the server closes every connection that has an answer in order")
def close_all(context):
    for connection in (context.connection, *(each for _, each in context.others)):
        connection.close(by_reset=False)


@step("the turns of the gateway's reactor take {ms:d} ms from now on")
def slow_turns(context, ms):
    context.pool_clock.turn_s = ms / MILLISECONDS_PER_S


@step("the server refuses new connections")
def refuse(context):
    context.reactor.refusing.add(ADDRESS)


@step("the server resets each new connection")
def reset_each(context):
    context.reactor.is_full = True


@step("the pool forgets the server's idle connections")
def forget(context):
    context.pool.forget(ADDRESS)
    assert context.reactor.open_at(ADDRESS) == [context.connection]


@step("the server resets a new connection of the pool")
def reset_new(context):
    _, _, connection = _send(context)
    connection.close(by_reset=True)


@step("a new connection to the server is opened and kept")
def open_new(context):
    _, _, connection = _send(context)
    connection.send(WITH_LENGTH)


@step("{seconds:d} second passes at the pool")
@step("{seconds:d} seconds pass at the pool")
def time_passes(context, seconds):
    context.pool_clock.advance(seconds)


@step("{ms:d} milliseconds pass at the pool")
def milliseconds_pass(context, ms):
    context.pool_clock.advance(ms / MILLISECONDS_PER_S)


@step("the answer is paused")
def pause(context):
    context.call.set_paused(True)


@step("the answer is read on and its close is noticed")
def read_on(context):
    context.call.set_paused(False)
    context.connection.close(by_reset=False)


@step("the call is cancelled")
def cancel(context):
    context.call.cancel()
    _no_timer_behind_turns(context)


@step("the pool is stopped")
def stop(context):
    context.pool.stop()
    _no_timer_behind_turns(context)


def _no_timer_behind_turns(context):
    """Check that nothing is left but the next turns, which end by themselves."""
    context.pool_clock.advance(0)
    _no_timer(context)


def _no_timer(context):
    """Check that the product has no timer left; those of the reactor are of another module."""
    waiting = [each.callable for each in context.pool_clock._timers if each.active()]
    left = [each for each in waiting if each.__module__.startswith("rainsail.")]
    assert not left, left


@step('a request "{method}" is answered "{text}" and the server closes its connection in order')
def answer_and_close(context, method, text):
    context.answer, context.call, context.connection = _send(context, method.encode())
    context.connection.send(text.replace("|", "\r\n").encode())
    context.connection.close(by_reset=False)


@step('a request "{method}" is answered "{text}" and the server\'s process ends')
def answer_and_end(context, method, text):
    context.answer, context.call, context.connection = _send(context, method.encode())
    context.connection.send(text.replace("|", "\r\n").encode())
    _end_process(context, "its address refuses")


@then('the answer has failed: "{reason}"')
def has_failed(context, reason):
    assert context.answer.ends == [reason], context.answer


@then("the answer counts as interrupted by the end of its connection")
def is_connection_end(context):
    (reason,) = context.answer.ends
    assert reason in CONNECTION_ENDS, reason


@then('the answer is told as whole: "{body}"')
def is_whole(context, body):
    assert (context.answer.ends, context.answer.body) == (["whole"], body.encode()), context.answer


@then('the answer is told as whole: ""')
def is_whole_without_body(context):
    is_whole(context, "")


@then("every answer is told as whole")
def all_whole(context):
    answers = [context.answer, *(answer for answer, _ in context.others)]
    assert all(each.ends == ["whole"] for each in answers), answers


@then("the confirmation has opened {count:d} connections, of which none is open")
def opened(context, count):
    known = [context.connection, *(connection for _, connection in context.others)]
    opened = [each for each in context.reactor.connections if each not in known]
    assert len(opened) == count, opened
    assert not any(each.transport.connected for each in opened)


@then("the answer has not ended")
def has_not_ended(context):
    assert not context.answer.ends, context.answer


@then("no timer is left at the pool")
def no_timer(context):
    _no_timer(context)


def _lines(context):
    return [each["extra"] for each in context.log_records if each["message"] == "unframed_end"]


@then(
    'one line "unframed_end" says the address, that no other connection was open '
    'and one had closed, and "ended"'
)
def log_line(context):
    (line,) = _lines(context)
    assert (line["address"], line["open"], line["verdict"]) == (ADDRESS, 0, "ended"), line
    assert line["idle_closed_ms_ago"] is not None, line


@then('no line "unframed_end" is written')
def no_line(context):
    assert not _lines(context)
