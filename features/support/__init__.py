"""Code shared by the step files."""
