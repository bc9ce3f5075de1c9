"""Steps for bad input against real processes."""

import json
import socket
import struct

import behave
import msgpack

from cicadaplank.messages import codec, types
from features import processes

PEER_TARGETS = ("norte-entry-1", "norte-model-1")
GOOD = {"model": processes.MODEL, "prompt": "A contract.", "max_tokens": 1}
BAD_BODIES = {
    "no JSON": b"{",
    "deeply nested JSON": b"[" * 200_000,
    "a list as body": b"[]",
    "no model": json.dumps({"prompt": "x"}).encode(),
    "no prompt": json.dumps({"model": processes.MODEL}).encode(),
    "a text as stream": json.dumps({**GOOD, "stream": "yes"}).encode(),
    "a body of 2 MiB": b" " * 2 * 1024 * 1024,
    "a row that is not there": json.dumps({**GOOD, "model": "absent"}).encode(),
}
BAD_HEADERS = {
    "no client": {"X-Cicadaplank-Client": ""},
    "priority 12": {"X-Cicadaplank-Priority": "12"},
    "a negative deadline": {"X-Cicadaplank-Deadline-S": "-1"},
    "a client without a grant": {"X-Cicadaplank-Client": "stranger"},
    "an idempotency key of 300": {"Idempotency-Key": "k" * 300},
}


@behave.when("a caller sends a request with {fault}")
def step_bad_request(context, fault):
    system = context.system.deployment
    body = BAD_BODIES.get(fault, json.dumps(GOOD).encode())
    headers = {**processes.HEADERS, **BAD_HEADERS.get(fault, {})}
    path = processes.ONCE_PATH if "Idempotency-Key" in headers else "/v1/completions"
    context.answer = system.send_bytes("norte-entry-1", "POST", path, body, headers)


@behave.then(
    'it gets status {status:d}, the error code {code} and the verdict "{verdict}"'
)
def step_error(context, status, code, verdict):
    found, headers, body = context.answer
    error = json.loads(body)["error"]
    assert (found, error["code"], error["verdict"]) == (status, code, verdict), body
    assert headers["X-Cicadaplank-Verdict"] == verdict, headers
    assert error["message"] and error["next"], error


@behave.then("the next request is answered")
def step_next_answered(context):
    prompt = context.system.prompt()
    status, tokens, ended = context.system.complete("norte-entry-1", prompt)
    assert status == 200 and ended, (status, tokens)
    assert tokens == processes.expected_tokens("v1", prompt)


def frame_of(message):
    """Return a message as an encoded frame."""
    return codec.encode(codec.Envelope("stranger", 0, message))


def bad_bytes(fault):
    """Return what a faulty peer writes to a new connection."""
    hello = frame_of(types.Hello("entry", "norte", "norte-1", 1))
    good = struct.pack("!I", len(hello)) + hello
    if fault == "a frame that is too long":
        return good + struct.pack("!I", codec.MAX_FRAME_BYTES + 1)
    if fault == "work before a hello":
        bad = frame_of(types.Work("a", "b", "c", "POST", "/", b""))
        return struct.pack("!I", len(bad)) + bad
    if fault == "a cut frame":
        bad = hello[:-1]
    elif fault == "an unknown type":
        bad = msgpack.packb([codec.PROTOCOL_VERSION, "stranger", 0, "Absent", []])
    elif fault == "a newer protocol":
        bad = msgpack.packb([codec.PROTOCOL_VERSION + 1])
    else:
        assert fault == "bytes that are no frame", fault
        bad = b"\xc1\xc1"
    return good + struct.pack("!I", len(bad)) + bad


def counter(context, name, key):
    """Return a counter of the streams of a process."""
    return context.system.deployment.status(name)["streams"].get(key, 0)


@behave.when("a peer sends {fault} to an entry and to an agent")
def step_bad_frame(context, fault):
    context.before = {}
    context.closed = {}
    system = context.system.deployment
    for name in PEER_TARGETS:
        context.before[name] = system.status(name)["streams"]
        address = (processes.deployment.HOST, system.instances[name]["port"])
        with socket.create_connection(address, timeout=10) as connection:
            connection.sendall(bad_bytes(fault))
            received = b"x"
            while received:
                try:
                    received = connection.recv(65536)
                except ConnectionResetError:
                    received = b""
            context.closed[name] = True


@behave.then("both close that connection and count the fault {key}")
def step_fault_counted(context, key):
    for name in PEER_TARGETS:
        assert context.closed[name]
        before = context.before[name].get(key, 0)
        assert counter(context, name, key) == before + 1, (name, key)


@behave.when("an operator runs a command with {fault}")
def step_bad_command(context, fault):
    system = context.system.deployment
    settings = system.path("norte-entry-1.json")
    good = context.system.write_table("v1")
    bad = system.path("bad.json")
    bad.write_text("{" if "no JSON" in fault else "")
    commands = {
        "an unknown name": ["tables"],
        "a missing file": ["table", "accept", "absent.json", "--settings", settings],
        "a table that is no JSON": ["table", "accept", bad, "--settings", settings],
        "a table without digest": ["table", "plan", bad, "--settings", settings],
        "a stale base version": ["table", "accept", good, "--settings", settings],
        "settings of an agent": ["entry", system.path("norte-model-1.json")],
        "empty weights": ["weights", "publish", bad, "m", "v", "--settings", settings],
        "the table service down": ["table", "show", "--settings", settings],
    }
    command = commands[fault]
    if fault == "a table without digest":
        document = json.loads(good.read_text())
        document["rows"][0]["manifest_digest"] = ""
        bad.write_text(json.dumps(document))
    elif fault == "a stale base version":
        command = [*command, "--base", "0"]
    elif fault == "the table service down":
        system.set_faults("tables", {"kind": "refuse"})
    context.result = system.command(*command, check=False)
    system.set_faults("tables")


@behave.then('it ends with code {code:d}, names "{text}" and shows no traceback')
def step_command_ended(context, code, text):
    found, output, errors = context.result
    assert found == code, (found, output, errors)
    assert text in errors, errors
    assert "Traceback" not in errors + output, errors


@behave.when("an operator asks for the help of the program")
def step_help(context):
    context.result = processes.system_of(context).deployment.command("--help")


@behave.then('the help names "{names}"')
def step_help_names(context, names):
    text = "".join(context.result[1:])
    words = text.split()
    assert all(name in words for name in names.split(", ")), text
