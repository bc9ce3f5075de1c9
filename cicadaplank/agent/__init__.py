"""Agent role: runs work and loads weights on one engine or plain service."""
