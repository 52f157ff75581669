"""Resources: what operators declare and watch."""
