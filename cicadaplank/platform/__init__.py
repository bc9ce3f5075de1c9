"""Adapter to the users' platform: its names, formats and calls.

It translates only; all decisions are made in other packages. The platform says machine,
zone, tenant and back end for what the rest of the code calls instance, data centre,
client account and endpoint.
"""
