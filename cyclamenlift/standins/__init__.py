"""Stand-ins for the environment: a target and a load generator.

They share no code with the HTTP implementation of the product, so that their
counts are an independent check of it. The demo, tests and benchmarks use
them.
"""
