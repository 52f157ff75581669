"""Steps on the budget of what clients hold together, with made-up clients and times."""

from behave import given, step, then, when

from rainsail.budget.client_budget import ClientBudget
from rainsail.budget.eviction import PROTECTED_S, Rank, Standing, slow_standing
from rainsail.budget.memory import HeldKind
from rainsail.budget.progress import ProgressMeter
from rainsail.budget.sizing import MEGABYTE, BudgetLimits, budget_limits
from rainsail.logs import logger

MANY = 1_000_000


class MadeUpClient:
    """A client of a budget that counts the connection itself for nothing."""

    def __init__(self, budget, now):
        self.budget = budget
        self.holding = budget.open(self)
        self.holding.set(HeldKind.CONNECTION, 0)
        self.meter = ProgressMeter(now)
        self.is_served = False
        self.gave_way = False

    @property
    def held_bytes(self):
        """What it would give back."""
        return self.holding.held_bytes

    def standing(self, now):
        """Return its place: by its progress, or as an idle connection."""
        if self.is_served:
            return None
        if self.held_bytes:
            return slow_standing(Rank.BODY, self.held_bytes, self.meter, now)
        idle = now - self.meter.since_s >= PROTECTED_S
        return Standing(Rank.IDLE, 0.0, self.meter.since_s) if idle else None

    def give_way(self, at_once):
        """Give everything back."""
        self.gave_way = True
        self.budget.close(self, self.holding)


def _budget(context, limits):
    context.budget_now_s = 0.0
    context.budget = ClientBudget(lambda: context.budget_now_s, limits)
    context.budget_clients = {}


def _client(context, name):
    if name not in context.budget_clients:
        made = MadeUpClient(context.budget, context.budget_now_s)
        context.budget_clients[name] = made
    return context.budget_clients[name]


@given("a client budget of {count:d} bytes")
def budget_of_bytes(context, count):
    _budget(context, BudgetLimits(count, MANY))


@given("a client budget of {count:d} connections")
def budget_of_connections(context, count):
    _budget(context, BudgetLimits(MANY, count))


@step('client "{name}" asks for {count:d} bytes of a {size} body')
def asks(context, name, count, size):
    holding = _client(context, name).holding
    context.fits = holding.grow_to(HeldKind.BODY, count, large=size == "large")


@then("it gets them")
def gets(context):
    assert context.fits


@then("it does not get them")
def gets_not(context):
    assert not context.fits


@step('client "{name}" leaves')
def leaves(context, name):
    client = context.budget_clients[name]
    context.budget.close(client, client.holding)


@step('the body of client "{name}" is complete')
def complete(context, name):
    context.budget_clients[name].holding.move(HeldKind.BODY, HeldKind.REQUEST)


@then('the budget holds {first:d} bytes for "{one}" and {second:d} for "{other}"')
def holds(context, first, one, second, other):
    by_kind = context.budget.memory.by_kind
    assert (by_kind[HeldKind(one)], by_kind[HeldKind(other)]) == (first, second), by_kind


@then("the budget holds nothing")
def holds_nothing(context):
    memory = context.budget.memory
    assert memory.held_bytes == 0 and not any(memory.by_kind.values()), memory.by_kind


@given(
    'client "{name}" holds {count:d} bytes of a body and has sent nothing for {seconds:g} seconds'
)
def stalled(context, name, count, seconds):
    client = _client(context, name)
    client.holding.set(HeldKind.BODY, count)
    context.budget_now_s += seconds


@given('client "{name}" holds {count:d} bytes of a body and sends {rate:d} bytes a second')
def sends(context, name, count, rate):
    began_s = context.budget_now_s
    client = _client(context, name)
    client.holding.set(HeldKind.BODY, count)
    client.meter = ProgressMeter(began_s - 4)
    for tenth in range(1, 41):
        client.meter.add(rate / 10, began_s - 4 + tenth / 10)


@given('client "{name}" holds {count:d} bytes of a request that is being answered')
def served(context, name, count):
    client = _client(context, name)
    client.holding.set(HeldKind.REQUEST, count)
    client.is_served = True
    context.budget_now_s += 5


@when('clients "a", "b" and "c" have been connected for {seconds:g} seconds')
def connected(context, seconds):
    for name in "abc":
        _client(context, name)
        context.budget_now_s += 0.01
    context.budget_now_s += seconds - 0.03


@then("one more connection is admitted")
def admitted(context):
    assert context.budget.admit_connection()


@then("no more connection is admitted")
def not_admitted(context):
    assert not context.budget.admit_connection()


@then('"{name}" has given way')
def gave_way(context, name):
    assert context.budget_clients[name].gave_way


@then('"{name}" has not given way')
def kept(context, name):
    assert not context.budget_clients[name].gave_way


@then("nobody has given way")
def nobody(context):
    assert not any(client.gave_way for client in context.budget_clients.values())


@when("{count:d} clients are refused within a second")
def refuse_many(context, count):
    context.refused_lines, context.refused_reasons = [], []
    sink = logger.add(context.refused_lines.append, level="INFO")
    context.budget.refusal_listeners.append(context.refused_reasons.append)
    for _ in range(count):
        context.budget_now_s += 0.9 / count
        context.budget.refused("no room", 503)
    logger.remove(sink)


@then("{lines:d} lines were logged, and {count:d} refusals counted")
def logged(context, lines, count):
    assert len(context.refused_lines) == lines, len(context.refused_lines)
    assert len(context.refused_reasons) == count


@given(
    "a process with {memory:d} MB, of which {own:d} are its own, and {descriptors:d} descriptors"
)
def process(context, memory, own, descriptors):
    context.process_limits = (memory * MEGABYTE, own * MEGABYTE, descriptors)
    context.budget_limits = budget_limits(*context.process_limits)


@when("its operator sets {held:d} MB and {connections:d} connections")
def operator_sets(context, held, connections):
    context.budget_limits = budget_limits(*context.process_limits, held * MEGABYTE, connections)


@then("its clients may hold {held:g} MB together, on {connections:d} connections")
def may_hold(context, held, connections):
    limits = context.budget_limits
    found = (limits.held_bytes / MEGABYTE, limits.connections)
    assert abs(found[0] - held) < 0.7 and found[1] == connections, found
