"""Steps for frames between processes."""

import dataclasses

import behave
import msgpack

from cicadaplank.messages import codec, types

SAMPLES = {
    str: "x",
    int: 3,
    float: 0.5,
    bytes: b"\x01",
    bool: True,
    dict: {"a": 1},
    list: ["x"],
}


def example(cls):
    """Return a message of the class with a sample in every field."""
    return cls(*map(sample, dataclasses.fields(cls)))


def sample(field):
    """Return a value of a field, whose items may have types of their own."""
    items = field.metadata.get("items")
    if items is None:
        return SAMPLES[field.type]
    return {SAMPLES[items[0]]: SAMPLES[items[1]]}


def damaged(frame, damage):
    """Return the frame with the named damage."""
    values = msgpack.unpackb(frame)
    if damage == "cut":
        return frame[:-1]
    if damage == "empty":
        return b""
    if damage == "trailing bytes":
        return frame + b"\x00"
    if damage == "not a list":
        return msgpack.packb({"protocol": 1})
    if damage == "wrong field type":
        values[4][0] = 7
    elif damage == "missing field":
        values[4].pop()
    elif damage == "unknown type":
        values[3] = "NoSuchMessage"
    elif damage == "newer protocol":
        values[0] = codec.PROTOCOL_VERSION + 1
    elif damage == "oversize":
        values[4][5] = bytes(codec.MAX_FRAME_BYTES)
    return msgpack.packb(values)


@behave.given("an example of every message type")
def step_examples(context):
    classes = [value for value in vars(types).values() if isinstance(value, type)]
    context.originals = [example(cls) for cls in classes]


@behave.when("each is encoded and decoded")
def step_round_trip(context):
    context.decoded = [
        codec.decode(codec.encode(codec.Envelope("sender", 2, message))).message
        for message in context.originals
    ]


@behave.then("each equals its original")
def step_equal(context):
    assert context.originals
    assert context.decoded == context.originals


@behave.given("an encoded work message")
def step_work(context):
    context.frame = codec.encode(codec.Envelope("entry", 1, example(types.Work)))


@behave.when("the frame is damaged by {damage}")
def step_damage(context, damage):
    context.frame = damaged(context.frame, damage)


@behave.then("decoding reports the fault {fault}")
def step_fault(context, fault):
    try:
        codec.decode(context.frame)
    except codec.FrameError as error:
        assert error.fault.value == fault, error
    else:
        raise AssertionError("the frame was accepted")
