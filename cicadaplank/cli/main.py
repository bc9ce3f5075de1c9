"""Entry point of the ``cicadaplank`` command line."""

import sys

import fire

from cicadaplank.cli import commands, results


def main(argv=None):
    """Run one command and exit.

    Exit codes: 0 done, 1 failed, 2 bad usage or file, 3 conflict with another
    operator, 4 a service or process cannot be reached.

    :param argv: arguments without the program name, by default those of the process.
    """
    try:
        fire.Fire(commands.Commands(), command=argv, name="cicadaplank")
    except results.CommandError as error:
        print(f"cicadaplank: {error}", file=sys.stderr)
        sys.exit(error.exit_code)
    except fire.core.FireExit as stop:
        sys.exit(stop.code)
    except KeyboardInterrupt:
        sys.exit(130)
