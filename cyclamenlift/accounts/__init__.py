"""Limits of client accounts that all instances keep together."""

from cyclamenlift.accounts.entry import EntryState
from cyclamenlift.accounts.home import HomeState
from cyclamenlift.accounts.messages import LimitTolerance

__all__ = ['EntryState', 'HomeState', 'LimitTolerance']
