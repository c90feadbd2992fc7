"""Stand-ins shared by the cases of the review."""
