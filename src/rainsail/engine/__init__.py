"""The client side of the model engines' protocol."""
