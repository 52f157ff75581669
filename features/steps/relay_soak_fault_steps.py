"""Steps on the soak test of the relay under crashes and other faults drawn by themselves."""

from behave import then, when
from features.support.relay_soak.fault_options import FAULTS
from features.support.relay_soak.soak import RelaySoak

LEAST_SERVED = 20


@when(
    "its clients meet runners whose framing is damaged, drawn from seed {seed:d}, "
    "with the defect and without it"
)
def run_relay_soaks_of_framing(context, seed):
    faults = FAULTS["whose framing is damaged"]
    defective = RelaySoak(seed, spoils_beginnings=False, faults=faults)
    with context.relay_defect.in_place():
        defective.run()
    sound = RelaySoak(seed, spoils_beginnings=False, faults=faults)
    sound.run()
    context.defective_violations, context.sound_violations = defective.violations, sound.violations


@when(
    "a relay's clients on {connections:d} connections meet runners {faults}, "
    "drawn from each of the seeds {first:d} to {last:d}"
)
def run_relay_soaks_of_faults(context, connections, faults, first, last):
    context.relay_soaks = [
        RelaySoak(seed, False, connections, faults=FAULTS[faults])
        for seed in range(first, last + 1)
    ]
    for soak in context.relay_soaks:
        soak.run()


@then('{least:d} answers or more have met the fault "{fault}"')
def faults_met(context, least, fault):
    met = sum(soak.counts[fault] for soak in context.relay_soaks)
    assert met >= least, met


@then("streams were served, and no guarantee was violated under these faults")
def nothing_violated(context):
    served = sum(soak.counts["served_stream"] for soak in context.relay_soaks)
    assert served >= LEAST_SERVED, served
    found = [each for soak in context.relay_soaks for each in soak.violations]
    assert not found, "\n".join(found)
