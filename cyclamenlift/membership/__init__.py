"""Cluster membership: UDP gossip, incarnations, suspicion, drain state."""

from cyclamenlift.membership.settings import MembershipSettings
from cyclamenlift.membership.state import MembershipState
from cyclamenlift.membership.tasks import Membership

__all__ = ['Membership', 'MembershipSettings', 'MembershipState']
