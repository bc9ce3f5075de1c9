"""Gateway of an entry instance, which forwards calls of clients directly to endpoints.

It routes each request, chooses an endpoint, queues and retries calls, and keeps copies
of the store's tables of routes and endpoints.
"""
