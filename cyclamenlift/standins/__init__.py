"""Stand-ins for what surrounds the system: a target and callers.

They share no code with the product's own HTTP, so that what they count is
independent of what the product believes. Demo, tests and benches use them.
"""
