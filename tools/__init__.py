"""Developer commands behind the Makefile."""
