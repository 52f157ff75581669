"""Resources: the configuration objects that operators declare and watch."""
