"""Faults of real processes on loopback, checked from what callers and servers see."""
