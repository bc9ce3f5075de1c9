"""Steps for messages of very many parts."""

import tracemalloc

import behave
import msgpack

from cicadaplank.messages import codec

MEBIBYTE = 1024 * 1024
PARTS = {
    "2,000,000 empty maps": lambda: [{}] * 2_000_000,
    "60,000 lists of 30 empty maps": lambda: [[{}] * 30] * 60_000,
    "600,000 short texts": lambda: ["ab"] * 600_000,
    "30,000 lists of 15 short texts": lambda: [["ab"] * 15] * 30_000,
    "780 short texts": lambda: ["ab"] * 780,
}


@behave.when("a message of {parts} is decoded")
def step_decode(context, parts):
    values = [codec.PROTOCOL_VERSION, "alpha", 0, "Hello", PARTS[parts]()]
    frame = msgpack.packb(values)
    assert len(frame) <= codec.MAX_FRAME_BYTES
    tracemalloc.start()
    try:
        codec.decode(frame)
    except codec.FrameError as fault:
        context.fault = str(fault)
    finally:
        _, context.decode_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()


@behave.then("it is {result} and took at most {limit_mb:d} MB")
def step_decoded(context, result, limit_mb):
    # A message that has few enough parts fails later: it is no hello.
    is_refused = "parts" in context.fault or "exceeds" in context.fault
    assert is_refused == (result == "rejected"), context.fault
    assert context.decode_bytes <= limit_mb * MEBIBYTE, context.decode_bytes
