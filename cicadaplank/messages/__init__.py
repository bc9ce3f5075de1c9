"""Types and encoding of the messages between the system's processes."""
