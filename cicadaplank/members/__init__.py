"""Membership of the system's processes, and the planned stop of one of them."""
