"""Weights of one engine: copies from peers and the origin, and their loading."""
