"""Command line of operators: commands, their output and exit codes."""
