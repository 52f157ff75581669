"""Control plane: the operator API, watches, configuration leases and the reconcile loops."""
