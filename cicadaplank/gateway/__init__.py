"""Direct forwarding of calls from an entry instance to endpoints."""
