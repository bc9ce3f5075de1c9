"""Acceptance, distribution and planning of the table, and leases on engines."""
