"""The adapter to the users' platform.

It translates and decides nothing: settings file, header fields, check-ins,
readiness and the operators' calls are read here into the product's own
types. No other package knows the platform's names.
"""
