"""Steps that disable one mechanism of the gateway and run a check."""

from unittest import mock

from behave import given, then, when
from features.support.gateway_checks import CHECKS, DEFECTS


@given('the gateway has the defect "{name}"')
def set_defect(context, name):
    defect = DEFECTS[name]
    patch = mock.patch.object(defect.module, defect.name, defect.broken)
    patch.start()
    context.add_cleanup(patch.stop)


@when('the gateway check "{name}" runs')
def run_check(context, name):
    context.breaches = CHECKS[name]()


@then("the gateway check finds nothing wrong")
def nothing_wrong(context):
    assert context.breaches == [], context.breaches


@then("the gateway check finds a violation")
def finds_breach(context):
    assert context.breaches, "the check noticed nothing"
