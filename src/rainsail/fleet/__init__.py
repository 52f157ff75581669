"""The node processes of a relaying fleet: gateway, controller and storage roles."""
