"""rainsail: a serving system that runs online and batch inference on one fleet."""
