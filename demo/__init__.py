"""The whole product on loopback, with its promises counted."""
