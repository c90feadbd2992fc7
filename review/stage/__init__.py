"""Stand-ins of the platform for the cases 4 to 8 of this review."""
