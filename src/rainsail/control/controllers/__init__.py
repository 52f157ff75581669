"""Reconcile loops on a group's leader: placement, drain, retention and departed gateways."""
