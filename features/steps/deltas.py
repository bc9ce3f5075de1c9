"""Steps for differences between configurations."""

import json

import behave
import hypothesis
from hypothesis import strategies

from cicadaplank.table import deltas
from cicadaplank.world import contracts

NAMES = strategies.sampled_from(["a", "b", "c", "d", "e"])
SETTINGS = hypothesis.settings(
    derandomize=True,
    max_examples=300,
    database=None,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
FIELDS = ["changed", "removed", "order", "halves", "name", "limits", "holders", "a"]
DOCUMENTS = strategies.recursive(
    strategies.none() | strategies.integers() | strategies.text(max_size=3) | NAMES,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.sampled_from(FIELDS), inner, max_size=4)
    ),
    max_leaves=12,
)


@strategies.composite
def tables(draw):
    """Return a valid table with rows in any order."""
    names = draw(strategies.lists(NAMES, unique=True))
    rows = []
    for name in names:
        base = draw(strategies.sampled_from(["", *names]))
        limits = draw(strategies.dictionaries(NAMES, strategies.floats(0, 99)))
        rows.append(
            {
                "name": name,
                "kind": "adapter" if base else "model",
                "base": base,
                "version": draw(NAMES),
                "manifest_digest": "d",
                "priority": draw(strategies.integers(0, 9)),
                "holders": draw(strategies.lists(NAMES)),
                "limits": [
                    {"client": client, "requests_per_s": rate}
                    for client, rate in limits.items()
                ],
            }
        )
    halves = draw(strategies.sampled_from([{}, {"x": ["a"]}, {"x": [], "y": ["a"]}]))
    return contracts.parse_table({"rows": rows, "halves": halves})


@behave.given("pairs of random tables")
def step_pairs(context):
    context.pairs = strategies.tuples(tables(), tables())


@behave.then("the difference of each pair applied to the first gives the second")
def step_apply(context):
    @SETTINGS
    @hypothesis.given(context.pairs)
    def check(pair):
        old, new = pair
        assert deltas.apply(old, deltas.compute(old, new)) == new

    check()


@behave.then("the written text of each equals its plain JSON text")
def step_text(context):
    @SETTINGS
    @hypothesis.given(context.pairs)
    def check(pair):
        writer = deltas.ConfigurationSerializer()
        for version, table in enumerate(pair):
            configuration = contracts.Configuration(version, 'id "1"', table)
            assert writer.text(configuration) == configuration.to_json()

    check()


@behave.given("random JSON documents")
def step_documents(context):
    context.documents = DOCUMENTS


@behave.then("applying each gives a table or a ValueError")
def step_refused(context):
    row = {"name": "a", "kind": "model", "version": "1", "manifest_digest": "d"}
    held = contracts.parse_table({"rows": [row]})

    @SETTINGS
    @hypothesis.given(context.documents)
    def check(document):
        try:
            found = deltas.apply(held, json.dumps(document))
        except ValueError:
            return
        assert isinstance(found, contracts.Table)

    check()
