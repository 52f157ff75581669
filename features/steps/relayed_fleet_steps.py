"""Steps on a relayed fleet in virtual time: controllers and the emptying of nodes."""

from behave import given, step, then, when
from features.support.relayed_fleet import SEED_PORT, RelayedFleet
from features.support.relaying import runner_record

from rainsail.cluster.messages import LedgerLeader, TableNotice
from rainsail.errors import FaultCode
from rainsail.wire.messenger import Messenger

SEED = 17
FORGOTTEN_WITHIN_S = 60.0


@given("a relayed fleet")
def make_fleet(context):
    _make(context, 3)


@given("a relayed fleet of {storage:d} storage nodes")
def make_fleet_of(context, storage):
    _make(context, storage)


@given("a relayed fleet of {gateways:d} gateways")
def make_fleet_with(context, gateways):
    _make(context, 3, gateways)


def _make(context, storage, gateways=2):
    context.fleet = fleet = RelayedFleet(SEED, storage=storage, gateways=gateways)
    fleet.leader("controller")
    fleet.leader("storage")
    fleet.run_for(1.5)


@then("the controllers have one leader")
def one_leader(context):
    assert len(context.fleet.leading("controller")) == 1


@then("the ledger has one leader and {count:d} voters")
def ledger_voters(context, count):
    leader = context.fleet.leader("storage")
    voters = context.fleet.nodes[leader].role.driver.members().voters()
    assert len(voters) == count, voters


@then("every gateway knows {controllers:d} controllers and {storage:d} storage nodes")
def gateways_know(context, controllers, storage):
    for name in context.fleet.names("gateway"):
        view = context.fleet.nodes[name].base.follower.view()
        assert (len(view.controllers), len(view.storage)) == (controllers, storage), view


# --- tables --------------------------------------------------------------------------------


def _send_table(context, version, name):
    return context.fleet.controller(name).tables.replace(version, str(version).encode())


@step("an operator sends table {version:d} to controller {number:d}")
@step("an operator sent table {version:d} to controller {number:d}")
def send_table(context, version, number):
    done = _send_table(context, version, f"controller-{number}")
    context.order = context.fleet.result_of(done, "an answer to the order")


@when(
    "operators send table {first:d} to controller {one:d} and table {second:d} "
    "to controller {two:d} at once"
)
def race(context, first, one, second, two):
    orders = [_send_table(context, first, f"controller-{one}")]
    orders.append(_send_table(context, second, f"controller-{two}"))
    for done in orders:
        result = context.fleet.result_of(done, "an answer to the order")
        assert result.is_ok(), result


@then("the operator's order is taken")
def order_taken(context):
    assert context.order.is_ok(), context.order


@then("every gateway has table {version:d} within {seconds:d} second")
def gateways_have(context, version, seconds):
    followers = [context.fleet.nodes[n].base.follower for n in context.fleet.names("gateway")]
    context.fleet.run_until(
        lambda: all(follower.table_version == version for follower in followers),
        f"table {version} everywhere",
        seconds,
    )


def _read(context, name):
    return context.fleet.result_of(context.fleet.controller(name).tables.read(), "a read")


def _read_gives(context, name, version):
    results = []

    def gives():
        if context.fleet.controller(name) is None:
            context.fleet.run_for(0.05)
            return False
        done = context.fleet.controller(name).tables.read()
        results.append(context.fleet.result_of(done, "a read"))
        return results[-1].is_ok()

    context.fleet.run_until(gives, "a read that is answered")
    assert results[-1].ok.version == version, results[-1]


@then("a read at controller {number:d} gives table {version:d}")
def read_gives(context, number, version):
    _read_gives(context, f"controller-{number}", version)


@when("the leading controller is cut off from all others")
def cut_leader(context):
    context.cut = context.fleet.leader("controller")
    context.fleet.isolate(context.cut)
    context.fleet.run_for(1.5)


@then("an order of table {version:d} at it is not taken")
def order_not_taken(context, version):
    done = _send_table(context, version, context.cut)
    assert context.fleet.result_of(done, "an answer").is_error()


@then("a read at it is refused")
def read_refused(context):
    assert _read(context, context.cut).is_error()


@then("a runner that drains there gets no acknowledgement")
def drain_unacknowledged(context):
    done = context.fleet.controller(context.cut).reports.take(runner_record(5, "draining", 2))
    assert context.fleet.result_of(done, "an answer").is_error()


@when("the other controllers take table {version:d}")
def others_take(context, version):
    other = next(n for n in context.fleet.names("controller") if n != context.cut)
    results = []

    def taken():
        done = _send_table(context, version, other)
        results.append(context.fleet.result_of(done, "an answer"))
        return results[-1].is_ok()

    context.fleet.run_until(taken, "an order that is taken")


@when("the cut-off controller is back")
def cut_off_back(context):
    context.fleet.rejoin(context.cut)


@then("a read at it gives table {version:d}")
def read_at_it(context, version):
    _read_gives(context, context.cut, version)


@when("the leading controller's process starts again and has not opened its disk")
def leader_not_open(context):
    fleet = context.fleet
    context.cut = fleet.leader("controller")
    address = fleet.address(context.cut)
    fleet.crash(context.cut)
    Messenger(fleet.network.transport(address), fleet.clock)


@when("an operator sends table {version:d} to another controller")
def send_to_another(context, version):
    context.order = context.fleet.result_of(
        _send_table(context, version, _other_controllers(context)[0]), "an answer to the order"
    )


def _other_controllers(context):
    return [name for name in context.fleet.names("controller") if name != context.cut]


@then("the order is taken or may be sent again")
def order_repeatable(context):
    order = context.order
    assert order.is_ok() or order.error.code == FaultCode.UNAVAILABLE, order


@then("every other controller reads table {version:d}")
def others_read(context, version):
    for name in _other_controllers(context):
        _read_gives(context, name, version)


# --- runners -------------------------------------------------------------------------------


@step("runner {number:d} said at controller {at:d} that it is {state}")
@step("runner {number:d} says at controller {at:d} that it is {state}")
def runner_says(context, number, at, state):
    sequence = 1 if state == "ready" else 2
    controller = context.fleet.controller(f"controller-{at}")
    done = controller.reports.take(runner_record(number, state, sequence))
    context.report = context.fleet.result_of(done, "an answer to the runner")
    if state == "ready":
        context.fleet.run_for(1.5)


@then("the runner's report is acknowledged")
def report_acknowledged(context):
    assert context.report.is_ok(), context.report


def _registries(context):
    return [context.fleet.nodes[n].base.registry for n in context.fleet.names("gateway")]


@then("no gateway takes runner {number:d} as ready within {seconds:g} seconds")
def not_ready(context, number, seconds):
    runner = f"runner-{number}"
    context.fleet.run_until(
        lambda: not any(registry.is_ready(runner) for registry in _registries(context)),
        "the report at every gateway",
        seconds,
    )


@when("every gateway is cut off from controller {number:d}")
def cut_gateways(context, number):
    controller = context.fleet.address(f"controller-{number}")
    for name in context.fleet.names("gateway"):
        gateway = context.fleet.address(name)
        context.fleet.network.cut(controller, gateway)
        context.fleet.network.cut(gateway, controller)


# --- losses --------------------------------------------------------------------------------


def _restart(context, names):
    for name in names:
        context.fleet.start(name)


@when("all controllers lose power")
def all_lose_power(context):
    for name in context.fleet.names("controller"):
        context.fleet.crash(name)


@when("all controllers lose power and start again")
def all_restart(context):
    names = context.fleet.names("controller")
    all_lose_power(context)
    _restart(context, names)


@when("the leading controller loses its disk and starts again")
def leader_wiped(context):
    name = context.fleet.leader("controller")
    context.fleet.lose_disk(name)
    _restart(context, [name])


@when("the leading controller loses its disk and the others power")
def leader_wiped_others_off(context):
    leader = context.fleet.leader("controller")
    names = context.fleet.names("controller")
    context.fleet.lose_disk(leader)
    for name in names:
        if name != leader:
            context.fleet.crash(name)
    _restart(context, names)


@when("controller {number:d} is gone for good")
def controller_gone(context, number):
    context.fleet.crash(f"controller-{number}")


@when("controller {number:d} starts with an empty disk")
def controller_starts(context, number):
    context.fleet.start(f"controller-{number}")


@when("controller {number:d} loses its disk and starts again")
def controller_wiped(context, number):
    context.fleet.lose_disk(f"controller-{number}")
    context.fleet.start(f"controller-{number}")


@then("the root group has {count:d} voters and controller {number:d} is one of them")
def root_voters(context, count, number):
    wanted = context.fleet.address(f"controller-{number}")

    def reached():
        leaders = context.fleet.leading("controller")
        if len(leaders) != 1:
            return False
        members = context.fleet.nodes[leaders[0]].role.driver.members()
        voters = [member.replica for member in members.voters()]
        return len(members.members) == count and wanted in voters

    context.fleet.run_until(reached, "the other voter")


@step("{seconds:g} seconds of the fleet pass")
def fleet_time(context, seconds):
    context.fleet.run_for(seconds)


@then("every gateway has table {version:d} and takes runner {number:d} as ready")
def gateways_keep(context, version, number):
    for name in context.fleet.names("gateway"):
        base = context.fleet.nodes[name].base
        assert base.follower.table_version == version
        assert base.registry.is_ready(f"runner-{number}")


# --- seeds ----------------------------------------------------------------------------------

EXCHANGE_PAUSE_S = 4.0
"""Time between two replacements, so that the group adds a new member before it loses the next."""


def _tell_seeds(context):
    """Have every running node apply the changed seeds of its settings."""
    for node in context.fleet.nodes.values():
        settings = node.base.settings
        peers = settings.peers.model_copy(
            update={"seeds": tuple(f"{ip}:{SEED_PORT}" for ip in context.fleet.seeds)}
        )
        changed = settings.model_copy(update={"peers": peers})
        node.base.follower.set_seeds(changed.seed_controllers())


@when("the seeds are replaced one after the other by controllers 4, 5 and 6")
def exchange_seeds(context):
    fleet = context.fleet
    context.former = [fleet.address(f"controller-{number}") for number in (1, 2, 3)]
    for former, new in ((1, 4), (2, 5), (3, 6)):
        fleet.seeds = [f"10.0.1.{new}" if ip == f"10.0.1.{former}" else ip for ip in fleet.seeds]
        fleet.crash(f"controller-{former}")
        fleet.start(f"controller-{new}")
        _tell_seeds(context)
        fleet.run_for(EXCHANGE_PAUSE_S)


@then("the root group has 3 voters and controllers 4, 5 and 6 are the voters")
def new_voters(context):
    fleet = context.fleet
    wanted = {fleet.address(f"controller-{number}") for number in (4, 5, 6)}

    def settled():
        leading = fleet.leading("controller")
        if len(leading) != 1:
            return False
        voters = fleet.nodes[leading[0]].role.driver.members().voters()
        return {voter.replica for voter in voters} == wanted

    fleet.run_until(settled, "the new controllers as voters")


@then("no gateway still knows a former seed")
def no_former_seed(context):
    fleet = context.fleet

    def remembered():
        views = [fleet.nodes[name].base.follower.view() for name in fleet.names("gateway")]
        return any(set(context.former) & set(view.controllers) for view in views)

    until_s = fleet.clock.seconds() + FORGOTTEN_WITHIN_S
    while remembered():
        assert fleet.clock.seconds() < until_s, "a gateway still knows a former seed"
        fleet.run_for(1.0)


@when("a gateway starts that knows only the new seeds")
def gateway_starts(context):
    name = f"gateway-{len(context.fleet.names('gateway')) + 1}"
    context.fleet.start(name)
    context.fleet.run_for(2.0)


@when("a gateway starts that knows only seeds at unused addresses")
def stray_gateway_starts(context):
    fleet = context.fleet
    seeds, fleet.seeds = fleet.seeds, ["10.0.9.1", "10.0.9.2"]
    fleet.start("gateway-9")
    fleet.seeds = seeds


@then("that gateway has no table and still tries its seeds")
def stray_goes_on(context):
    follower = context.fleet.nodes["gateway-9"].base.follower
    assert follower.table_version == 0 and not follower.controllers.any_answered
    assert len(follower.view().controllers) == 2


@when("its settings are changed to the fleet's seeds")
def stray_told(context):
    _tell_seeds(context)


# --- emptying ------------------------------------------------------------------------------


def _empty(context, node):
    controller = context.fleet.controller(context.fleet.names("controller")[0])
    context.emptied = node
    context.emptying = context.fleet.result_of(controller.emptying.empty(node), "an answer")


@when("an operator asks to empty a voting storage node")
def empty_voter(context):
    leader = context.fleet.leader("storage")
    voters = context.fleet.nodes[leader].role.driver.members().voters()
    addresses = {context.fleet.address(name): name for name in context.fleet.names("storage")}
    _empty(context, addresses[voters[0].replica])


@when('an operator asks to empty the node "{name}"')
def empty_named(context, name):
    _empty(context, name)


@then("the emptying is taken")
def emptying_taken(context):
    assert context.emptying.is_ok(), context.emptying


@then("the emptying is refused as a conflict")
def emptying_conflict(context):
    assert context.emptying.error.code == FaultCode.CONFLICT, context.emptying


@then("the emptying is refused as not found")
def emptying_unknown(context):
    assert context.emptying.error.code == FaultCode.NOT_FOUND, context.emptying


@then("the emptying is done within {seconds:d} seconds")
def emptying_done(context, seconds):
    controller = context.fleet.controller(context.fleet.names("controller")[0])

    def done():
        result = context.fleet.result_of(controller.emptying.status(context.emptied), "a status")
        return result.is_ok() and result.ok.done

    context.fleet.run_until(done, "the emptying", seconds)


@when("the emptied node is gone for good")
def emptied_gone(context):
    context.fleet.lose_disk(context.emptied)


@when("another storage node loses its disk for good at that moment")
def another_gone(context):
    context.fleet.lose_disk(context.fleet.names("storage")[0])


@then(
    "controller {number:d} knows the controllers {first:d} and {second:d} as its group's contacts"
)
def knows_contacts(context, number, first, second):
    state = context.fleet.nodes[f"controller-{number}"].role.driver.core.state
    wanted = {context.fleet.address(f"controller-{each}") for each in (first, second)}
    assert wanted <= set(state.contacts), state.contacts


# --- starting ---------------------------------------------------------------------------------


@when(
    "storage node {number:d} loses power, starts again and hears of table {version:d} "
    "before its disk is open"
)
def hears_early(context, number, version):
    fleet = context.fleet
    name = f"storage-{number}"
    fleet.crash(name)
    fleet.start(name)
    controller = fleet.nodes["controller-1"].base.messenger
    controller.send(fleet.address(name), TableNotice(version))


@then("storage node {number:d} runs items by table {version:d} within {seconds:g} seconds")
def runs_by(context, number, version, seconds):
    dispatcher = context.fleet.nodes[f"storage-{number}"].role.dispatcher
    context.fleet.run_until(
        lambda: dispatcher.table_version == version, f"table {version} at its dispatcher", seconds
    )


# --- the ledger's leader -------------------------------------------------------------------


@when("a gateway hears that storage node {number:d} leads the ledger in term {term:d}")
def hears_of_leader(context, number, term):
    context.leaders_heard = []
    follower = context.fleet.nodes["gateway-1"].base.follower
    follower.on_ledger_leader = context.leaders_heard.append
    _tell_leader(context, number, term)


@when("it hears late that storage node {number:d} led it in term {term:d}")
def hears_late(context, number, term):
    _tell_leader(context, number, term)


def _tell_leader(context, number, term):
    fleet = context.fleet
    messenger = fleet.nodes["controller-1"].base.messenger
    message = LedgerLeader(fleet.address(f"storage-{number}"), term)
    messenger.send(fleet.address("gateway-1"), message)
    fleet.run_for(0.1)


@then("the gateway goes on with storage node {number:d} as the ledger's leader")
def goes_on_with(context, number):
    assert context.leaders_heard, "no leader was heard of"
    assert context.leaders_heard[-1] == context.fleet.address(f"storage-{number}")
