"""Code shared by the entry and agent processes."""
