"""The design size on one machine: hollow nodes beside real replicas and gateways, and slopes."""
