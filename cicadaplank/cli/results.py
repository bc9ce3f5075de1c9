"""Exit codes and output of the commands."""

import dataclasses
import json
import sys

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4


class CommandError(Exception):
    """Failure of a command, reported to the operator without a traceback.

    :param message: what happened and what to do next.
    :param exit_code: exit code of the process.
    """

    def __init__(self, message, exit_code=EXIT_FAILED):
        super().__init__(message)
        self.exit_code = exit_code


def to_json_value(value):
    """Convert a value to types that ``json.dumps`` accepts.

    :param value: data class, dict, list, tuple or scalar; converted recursively.
    :returns: dict with text keys, list or scalar.
    """
    if dataclasses.is_dataclass(value):
        return to_json_value(dataclasses.asdict(value))
    if isinstance(value, dict):
        return {str(key): to_json_value(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [to_json_value(item) for item in value]
    return value


def print_result(document, lines, as_json):
    """Print the result of a command on standard output.

    :param document: value that is printed as JSON.
    :param lines: lines of text that are printed otherwise.
    :param as_json: True to print the document as JSON.
    """
    if as_json:
        print(json.dumps(to_json_value(document), sort_keys=True))
        return
    for line in lines:
        print(line)
    sys.stdout.flush()
