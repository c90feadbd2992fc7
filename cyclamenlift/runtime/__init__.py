"""The two kinds of process, put together from the packages."""
