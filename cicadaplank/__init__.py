"""Distribution of model weights to a fleet of inference servers and request routing."""

__version__ = "0.1.0"
