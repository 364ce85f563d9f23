"""Twisted adapters for the ports, message streams and HTTP resources."""
