"""Guard for what handles a call: an unexpected error in it ends that call only.

Without it the error ends the loop over all calls, or the callback of a connection, in
which it is raised, and the client of the call is not answered.
"""

import functools


def run(owner, function, *args, **kwargs):
    """Call a function; an error in it ends the call on whose behalf it runs.

    :param owner: the call or one of its attempts, with a method ``handling_failed``,
        which is called while the error is being handled.
    :param function: callable.
    :returns: what the function returns, None after an error.
    """
    try:
        return function(*args, **kwargs)
    except Exception:
        owner.handling_failed()
        return None


def ends_call(method):
    """Decorate a method of a call or an attempt that is called from outside of it."""

    @functools.wraps(method)
    def guarded(self, *args, **kwargs):
        return run(self, method, self, *args, **kwargs)

    return guarded
