"""Steps on the settings keys and deploy files that operators rely on."""

import hashlib
import os
from pathlib import Path
from unittest import mock

from behave import then, when
from features.support.compatibility_pins import check_pinned, read_pin
from features.support.compatibility_settings import (
    MINIMAL,
    MODELS,
    PINNED,
    defaults_in_force,
    environment_of,
    environment_paths,
    leaf_paths,
    settings_of,
    stated_defaults,
)
from pydantic_settings import EnvSettingsSource


@then("the {model} settings have the pinned keys, types, defaults and environment names")
def step_keys(context, model):
    check_pinned(PINNED, "settings key", read_pin(PINNED)[model]["keys"], settings_of(model))


@then("{model} settings that say no more than they must have the pinned values")
def step_in_force(context, model):
    pinned = read_pin(PINNED)[model]["in_force"]
    check_pinned(PINNED, "section", pinned, defaults_in_force(model))


@when("each pinned key of the {model} settings is set to its default")
def step_state(context, model):
    context.model = model
    pinned = read_pin(PINNED)[model]["keys"]
    context.settings = MODELS[model].model_validate(stated_defaults(pinned, MINIMAL[model]))


@when("the environment sets each pinned key of the process settings to its default")
def step_environment(context):
    context.model = "process"
    pinned = read_pin(PINNED)["process"]["keys"]
    with mock.patch.dict(os.environ, environment_of(pinned)):
        context.environment_tree = EnvSettingsSource(MODELS["process"])()
        context.settings = MODELS["process"](**MINIMAL["process"])


@then("each of them was read from the environment")
def step_read(context):
    pinned = read_pin(PINNED)["process"]["keys"]
    unread = sorted(set(environment_paths(pinned)) - set(leaf_paths(context.environment_tree)))
    assert not unread, unread


@then("the settings are accepted and have the pinned values")
def step_accepted(context):
    found = context.settings.model_dump(mode="json")
    check_pinned(PINNED, "section", read_pin(PINNED)[context.model]["in_force"], found)


@then('the file "{path}" has the SHA-256 {digest}')
def step_digest(context, path, digest):
    found = hashlib.sha256(Path(path).read_bytes()).hexdigest()
    assert found == digest, f"{path} has changed: operators' copies of it have not ({found})"
