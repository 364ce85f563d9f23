"""Measured slopes of cost, and the capacity page worked out from them."""
