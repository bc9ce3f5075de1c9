"""Update of an engine's weights: copying, staging and loading of a version."""
