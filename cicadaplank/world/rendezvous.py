"""Rendezvous hashing (highest random weight).

Every process that knows the same candidates places a key on the same one.
"""

import hashlib


def weight(key, name):
    """Return the hash weight of a candidate for a key.

    :param key: text that is being placed.
    :param name: name of a candidate.
    :returns: unsigned 64-bit integer, the same in every process.
    """
    data = f"{key}\x00{name}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def ranked(key, names):
    """Sort candidates by descending weight for a key, the same in every process.

    :param key: text that is being placed.
    :param names: iterable of candidate names.
    :returns: list of names, highest weight first; equal weights in order of the name.
    """
    return sorted(names, key=lambda name: (-weight(key, name), name))


def owner(key, names):
    """Return the candidate with the highest weight for a key.

    :param key: text that is being placed.
    :param names: non-empty iterable of candidate names.
    :returns: name of the candidate; for equal weights the last one in order of the
        name.
    :raises ValueError: when there is no candidate.
    """
    return max(names, key=lambda name: (weight(key, name), name))
