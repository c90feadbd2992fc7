"""Assembles the daemon and control processes from the other packages."""
