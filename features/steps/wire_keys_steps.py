"""Steps of features/wire/keys.feature."""

from behave import then, when
from cryptography import x509
from features.support.command_line import rainsail_here
from features.support.wire import temporary_folder

from rainsail.wire.tls import common_name, role_name


@when('certificates for "{names}" are created with the role "{role}"')
def step_create(context, names, role):
    if not hasattr(context, "wire_created"):
        context.wire_created = temporary_folder(context)
    folder = str(context.wire_created)
    context.wire_command = rainsail_here(["keys", "create", folder, names, "--role", role])


def _certificate(context, name):
    return x509.load_pem_x509_certificate((context.wire_created / f"{name}.pem").read_bytes())


@then('the created certificate of "{name}" names "{wanted}" and the role "{role}"')
def step_names(context, name, wanted, role):
    certificate = _certificate(context, name)
    assert (common_name(certificate), role_name(certificate)) == (wanted, role)


@then("all are signed by the same created authority")
def step_authority(context):
    authority = _certificate(context, "authority")
    for name in ("replica-1", "replica-2", "gateway-1"):
        _certificate(context, name).verify_directly_issued_by(authority)


@then('creating certificates ended with code {code:d} naming "{text}"')
def step_refused(context, code, text):
    assert context.wire_command.code == code, context.wire_command
    assert text in context.wire_command.stderr, context.wire_command


@then("no certificate was created")
def step_nothing(context):
    assert list(context.wire_created.iterdir()) == []
