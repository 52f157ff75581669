"""Steps on the command line that operators and their scripts rely on."""

from behave import then
from features.support.compatibility_cli import PINNED, command_line, exit_codes, help_words
from features.support.compatibility_pins import check_pinned, read_pin


@then("the command line has the pinned commands with their flags, defaults and value types")
def step_commands(context):
    check_pinned(PINNED, "command", read_pin(PINNED)["commands"], command_line())


@then("the exit codes are the pinned ones")
def step_exit_codes(context):
    check_pinned(PINNED, "exit code", read_pin(PINNED)["exit_codes"], exit_codes())


@then("the words that ask for help are the pinned ones")
def step_help(context):
    assert help_words() == read_pin(PINNED)["help_words"]
