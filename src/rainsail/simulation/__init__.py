"""Simulation: virtual clock, seeded network and disks, faults and known-bad variants."""
