"""Adapter to the platform of the users.

Translates settings file, header fields, heartbeats, readiness checks and
operators' requests to the types of the product, without any decision logic.
Names defined by the platform occur in no other package.
"""
