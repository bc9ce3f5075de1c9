"""Adapter to the users' platform: its names, formats and calls. It decides nothing.

The platform says machine, zone, tenant and back end for what the rest of the code calls
instance, data centre, client account and endpoint.
"""
