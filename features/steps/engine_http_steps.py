"""Steps of the engine client over HTTP."""

from dataclasses import replace

from behave import given, then, when
from features.steps.emulator_engine_steps import long_prompt
from features.support.caller_api import openai
from features.support.emulator import MODEL
from features.support.engine import (
    END_DATA,
    FLOOD_CHUNK_BYTES,
    HEAD,
    READ_TIMEOUT_S,
    SCRIPTS,
    EngineRig,
    chunk_data,
    http_chunk,
)
from features.support.reactor_thread import in_reactor, reactor, wait_until

from rainsail.emulator.answers import expected_answer
from rainsail.engine.interface import EngineOrder, OrderKind
from rainsail.engine.prefix import block_hashes

HTTP_END = b"0\r\n\r\n"
QUIET_POLLS = 50
COMMENTS = 12


def make_rig(context):
    """Make a rig until the scenario's end."""
    context.rig = EngineRig()
    context.add_cleanup(context.rig.close)


@given("an engine server on loopback")
def serve_engine(context):
    make_rig(context)
    context.rig.serve_engine()


@given('an engine address "{address}"')
def use_address(context, address):
    make_rig(context)
    context.rig.address = address


@given("no engine server on loopback")
def serve_nothing(context):
    make_rig(context)


@given("a scripted engine that floods")
def serve_flood(context):
    make_rig(context)
    context.flood = Flood()
    context.rig.serve_script(context.flood.begin)


@given("a scripted engine that replies with {size:d} megabytes and no length")
def serve_large_reply(context, size):
    make_rig(context)
    chunk = http_chunk(b"x" * FLOOD_CHUNK_BYTES)
    count = size * 1_000_000 // FLOOD_CHUNK_BYTES
    context.rig.serve_script(lambda transport: transport.write(HEAD + chunk * count + HTTP_END))


@when("the engine client takes replies of at most {size:d} bytes")
def take_at_most(context, size):
    client = context.rig.client
    client._settings = client._settings.model_copy(update={"max_reply_bytes": size})


class Flood:
    """Sends chunks while the connection accepts them, and the end when ``finish`` is called."""

    def __init__(self):
        self.sent = 0
        self.blocked = False
        self.over = False

    def begin(self, transport):
        """Send whenever the transport asks for more."""
        self.transport = transport
        transport.write(HEAD)
        transport.registerProducer(self, True)
        self.resumeProducing()

    def pauseProducing(self):
        """The connection is full."""
        self.blocked = True

    def resumeProducing(self):
        """The connection accepts more data."""
        self.blocked = False
        reactor.callLater(0, self.send)

    def send(self):
        """Send one chunk."""
        if self.blocked or self.over:
            return
        self.transport.write(http_chunk(chunk_data(self.sent, "x" * FLOOD_CHUNK_BYTES)))
        self.sent += 1
        reactor.callLater(0, self.send)

    def finish(self):
        """Send the end."""
        self.over = True
        self.transport.write(http_chunk(END_DATA % b"stop"))

    def stopProducing(self):
        """The connection is closed."""
        self.over = True


@given("a scripted engine that sends comments for three read timeouts and then an end")
def serve_comments(context):
    make_rig(context)

    def script(transport):
        transport.write(HEAD)
        step_s = 3 * READ_TIMEOUT_S / COMMENTS
        for number in range(COMMENTS):
            reactor.callLater(number * step_s, transport.write, http_chunk(b": wait\n\n"))
        end = http_chunk(END_DATA % b"stop")
        reactor.callLater(COMMENTS * step_s, transport.write, end)

    context.rig.serve_script(script)


@given("a scripted engine that {does}")
def serve_script(context, does):
    make_rig(context)
    data, closes = SCRIPTS[does]

    def script(transport):
        transport.write(data)
        if closes:
            transport.loseConnection()

    context.rig.serve_script(script)


@when("the engine client generates {tokens:d} tokens")
def generate(context, tokens):
    context.rig.generate(tokens)


@when("the engine client generates {tokens:d} tokens unstreamed")
def generate_unstreamed(context, tokens):
    context.rig.generate(tokens, stream=False)


@when('the engine client generates {tokens:d} tokens of version "{version}"')
def generate_version(context, tokens, version):
    context.rig.generate(tokens, version=version)


@when("the engine client generates {tokens:d} tokens about a long prompt")
def generate_long(context, tokens):
    context.rig.generate(tokens, prompt=long_prompt(640))
    context.rig.wait_for_end()


@then('the engine client\'s attempt ended "{reason}" with its whole answer')
def ended_whole(context, reason):
    listener = context.rig.wait_for_end()
    assert listener.reason == reason, listener.end
    assert listener.text == context.rig.expected()
    assert listener.end.chunk_count == len(listener.chunks)


@then('the engine client\'s attempt ended "{reason}" because of "{detail}"')
def ended_because(context, reason, detail):
    end = context.rig.wait_for_end().end
    assert end.reason == reason and detail in end.detail, end


@then('the engine client\'s attempt ended "{reason}" because of ""')
def ended_plainly(context, reason):
    end = context.rig.wait_for_end().end
    assert end.reason == reason, end


@then("the engine client's attempt came in {count:d} chunks")
def came_in_chunks(context, count):
    assert len(context.rig.listener.chunks) == count


@then("the engine client's attempt says to retry after {seconds:d} s")
def says_retry(context, seconds):
    assert context.rig.listener.end.retry_after_s == seconds


@when("{count:d} chunks have come to the engine client")
@when("{count:d} chunk has come to the engine client")
def chunks_came(context, count):
    listener = context.rig.listener
    wait_until(lambda: len(listener.chunks) >= count, f"{count} chunks")


@when("the engine behind the server crashes")
def crash(context):
    in_reactor(context.rig.engine.crash)


@then("the engine client's chunks are the beginning of the answer")
def beginning(context):
    text = context.rig.listener.text
    assert len(text) >= 20 and context.rig.expected().startswith(text)


@when("the engine client resumes the attempt after what has come")
def resume(context):
    rig = context.rig
    context.first = rig.listener

    def take_up():
        second = rig.add_listener()
        count = len(context.first.chunks)
        rig.client.resume(rig.address, rig.sent.attempt_id, count, second)

    in_reactor(take_up)


@then("the resumed attempt completes the answer without overlap")
def resumed_whole(context):
    second = context.rig.wait_for_end()
    assert context.first.end is None
    assert context.first.text + second.text == context.rig.expected()
    assert second.chunks[0].sequence == len(context.first.chunks)


@then('a resume of an unknown attempt ended "{reason}" because of "{detail}"')
def resume_unknown(context, reason, detail):
    rig = context.rig
    in_reactor(rig.client.resume, rig.address, "nobody/x y", 0, rig.add_listener())
    ended_because(context, reason, detail)


@when("the engine client cancels the attempt")
def cancel(context):
    rig = context.rig
    context.cancelled = in_reactor(rig.client.cancel, rig.address, rig.sent.attempt_id)


@then("the engine client's cancel found the attempt")
def cancel_found(context):
    assert context.cancelled.ok is True, context.cancelled


@then("a second cancel by the engine client does not find it")
def second_cancel(context):
    cancel(context)
    assert context.cancelled.ok is False, context.cancelled


@when("the engine client pauses the attempt until the engine is blocked")
def pause(context):
    rig = context.rig

    def pause_now():
        rig.client.pause(rig.sent.attempt_id)
        context.count = len(rig.listener.chunks)

    in_reactor(pause_now)
    wait_until(lambda: context.flood.blocked, "the engine's connection is full")


@then("no chunk comes while the attempt is paused")
def none_while_paused(context):
    for _ in range(QUIET_POLLS):
        in_reactor(lambda: None)
    assert len(context.rig.listener.chunks) == context.count
    assert context.rig.listener.end is None, context.rig.listener.end
    assert context.flood.sent > context.count


@when("the engine client unpauses the attempt")
def read_on(context):
    in_reactor(context.rig.client.unpause, context.rig.sent.attempt_id)
    in_reactor(context.flood.finish)


@then('the engine client\'s attempt ended "{reason}" with every chunk of the flood')
def flood_ended(context, reason):
    listener = context.rig.wait_for_end()
    assert listener.reason == reason, listener.end
    assert [chunk.sequence for chunk in listener.chunks] == list(range(context.flood.sent))


@then("orders by the engine client are accepted, and refused under a lower fence")
def orders(context):
    rig = context.rig
    order = EngineOrder(7, OrderKind.SET_ROLE, "online_only")
    taken = in_reactor(rig.client.order, rig.address, order)
    assert (taken.ok.fence, taken.ok.role) == (7, "online_only"), taken
    refused = in_reactor(rig.client.order, rig.address, replace(order, fence=6))
    assert refused.error.code == "fenced" and refused.error.peer.startswith(rig.address), refused


@then("a session exported by the engine client is imported again")
def sessions(context):
    rig = context.rig
    rig.generate(10, prompt=long_prompt(640), session="s", fence=3)
    rig.wait_for_end()
    exported = in_reactor(rig.client.export_kv, rig.address, "s", 3)
    assert exported.ok.tokens > 160 and len(exported.ok.data) >= 80, exported
    lower = in_reactor(rig.client.import_kv, rig.address, replace(exported.ok, fence=2))
    assert lower.error.code == "fenced", lower
    assert in_reactor(rig.client.import_kv, rig.address, exported.ok).is_ok()


@then("calls of the engine client to the address are unavailable and not run")
def calls_to_nobody(context):
    refused = in_reactor(context.rig.client.cancel, context.rig.address, "x")
    fault = refused.error
    assert (fault.code, fault.outcome) == ("unavailable", "not_run"), fault


@then('the engine client\'s order ends as "{code}" with outcome "{outcome}"')
def order_ends(context, code, outcome):
    rig = context.rig
    order = EngineOrder(7, OrderKind.SET_ROLE, "mixed")
    fault = in_reactor(rig.client.order, rig.address, order).error
    assert (fault.code, fault.outcome) == (code, outcome), fault


@when("the engine client subscribes to the engine")
def subscribe(context):
    rig = context.rig
    context.loads, context.events, context.losses = [], [], []
    context.unsubscribe = in_reactor(
        rig.client.subscribe,
        rig.address,
        context.loads.append,
        context.events.append,
        context.losses.append,
    )


@then("a load report and the cached blocks reach the subscriber")
def events_reach(context):
    blocks = block_hashes(context.rig.sent.prompt)
    wait_until(lambda: context.loads, "a load report")
    wait_until(lambda: any(event.blocks == blocks for event in context.events), "the blocks")
    assert context.loads[0].runner == "engine-1"
    assert context.losses == []


@then("the engine client's subscriber is notified once that the stream is lost")
def subscriber_lost(context):
    wait_until(lambda: context.losses, "the loss")
    in_reactor(context.unsubscribe)
    in_reactor(lambda: None)
    assert [fault.code for fault in context.losses] == ["unavailable"], context.losses


@then("the OpenAI client gets the engine's answer whole and streamed")
def openai_client(context):
    url = f"{context.rig.address}/v1"
    client = openai.OpenAI(api_key="none", base_url=url, max_retries=0)
    context.add_cleanup(client.close)
    expected = expected_answer(MODEL, "x", 12, 5)
    asked = {"model": MODEL, "prompt": "x", "max_tokens": 12, "seed": 5}
    assert client.completions.create(**asked).choices[0].text == expected
    parts = [chunk.choices[0].text for chunk in client.completions.create(**asked, stream=True)]
    assert "".join(parts) == expected and len(parts) == 13, parts
