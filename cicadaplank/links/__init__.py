"""TCP connections between the system's processes, and pacing of large frames."""
