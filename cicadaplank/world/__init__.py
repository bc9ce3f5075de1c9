"""Description of a deployment: settings, instances and the table.

It also has the helpers that other packages share: token buckets and rendezvous hashing.
"""
