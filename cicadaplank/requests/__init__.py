"""Admission, rate limits, routing, execution and retries of requests."""
