"""Entry process: serves callers' HTTP requests."""
