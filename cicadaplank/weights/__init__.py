"""Distribution of model weights between instances, and their loading into engines."""
