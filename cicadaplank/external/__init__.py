"""Interfaces and HTTP clients of the platform, engines and plain services."""
