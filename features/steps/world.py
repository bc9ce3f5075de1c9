"""Steps for settings and declarations."""

import json
import pathlib

import behave
from returns import result

from cicadaplank.world import contracts, settings

AGENT = {
    "comment": "model server in norte",
    "name": "norte-model-1",
    "role": "agent",
    "region": "norte",
    "data_centre": "norte-1",
    "listen": {"host": "127.0.0.1", "peer_port": 0, "http_port": 0},
    "platform": {
        "table_url": "http://127.0.0.1:1",
        "instances_url": "http://127.0.0.1:1",
        "objects_url": "http://127.0.0.1:2",
        "origin_url": "http://127.0.0.1:3",
        "origin_region": "norte",
    },
    "endpoint": {"kind": "engine", "url": "http://127.0.0.1:4"},
}
ROW = {
    "name": "drafts",
    "kind": "model",
    "version": "v1",
    "manifest_digest": "00" * 32,
    "holders": ["half:norte"],
    "limits": [{"client": "estancia-perez", "requests_per_s": 5}],
}
DECLARATION_FAULTS = {
    "an unknown field": {"colour": "red"},
    "a negative size": {"size_bytes": -1},
    "a missing digest": {"manifest_digest": ""},
    "an unknown half": {"holders": ["half:sur"]},
    "an unknown kind": {"kind": "film"},
    "a text limit": {"limits": [{"client": "estancia-perez", "requests_per_s": "x"}]},
    "a repeated client": {"limits": ROW["limits"] * 2},
    "a base without row": {"kind": "adapter", "base": "none"},
}


def copy_of(document):
    """Return a deep copy of a JSON document."""
    return json.loads(json.dumps(document))


@behave.given("valid settings of an agent")
def step_settings(context):
    context.document = copy_of(AGENT)


@behave.given("the settings field {path} is {value}")
def step_settings_field(context, path, value):
    *sections, last = path.split(".")
    target = context.document
    for section in sections:
        target = target.setdefault(section, {})
    target[last] = json.loads(value)


@behave.when("the settings are checked")
def step_check_settings(context):
    context.outcome = settings.parse(context.document)


@behave.then("the settings are accepted")
def step_settings_accepted(context):
    assert isinstance(context.outcome, result.Success), context.outcome


@behave.then("the settings error starts with {path}:")
def step_settings_error(context, path):
    errors = context.outcome.failure()
    assert [error for error in errors if error.startswith(f"{path}:")], errors


@behave.then("{count:d} settings errors are listed")
def step_settings_count(context, count):
    assert len(context.outcome.failure()) == count, context.outcome


@behave.given("a valid declarations document")
def step_declarations(context):
    halves = {"norte": ["norte-model-1"]}
    context.document = {"rows": [copy_of(ROW)], "halves": halves}
    contracts.parse_table(context.document)


@behave.given("the declarations have {fault}")
def step_declarations_fault(context, fault):
    if fault == "a repeated row":
        context.document["rows"].append(copy_of(ROW))
    elif fault == "an instance in two":
        context.document["halves"]["este"] = ["norte-model-1"]
    elif fault == "a list for the table":
        context.document = []
    else:
        context.document["rows"][0].update(DECLARATION_FAULTS[fault])


@behave.when("the declarations are checked")
def step_check_declarations(context):
    try:
        contracts.parse_table(context.document)
        context.message = ""
    except ValueError as error:
        context.message = str(error)


@behave.then("the declarations error mentions {place}")
def step_declarations_error(context, place):
    assert place in context.message, context.message


@behave.given("the example deployments")
def step_examples(context):
    root = pathlib.Path(__file__).resolve().parents[2] / "examples"
    context.settings_files = sorted(root.glob("*/settings/*.json"))
    context.table_files = sorted(root.glob("*/table.json"))
    assert len(context.table_files) == 2


@behave.when("every example is checked")
def step_check_examples(context):
    loaded = [settings.load(path) for path in context.settings_files]
    context.outcomes = loaded
    for path in context.table_files:
        contracts.parse_table(json.loads(path.read_text()))


@behave.then("no example has an error")
def step_examples_valid(context):
    assert context.outcomes
    failed = [out for out in context.outcomes if not isinstance(out, result.Success)]
    assert not failed, failed
