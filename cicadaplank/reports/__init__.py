"""Event log, metrics, service-level objectives and reports on them."""
