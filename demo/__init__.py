"""Runs a complete deployment on loopback and checks its guarantees."""
