"""Who is there: gossip over UDP, incarnations, suspicion, drain state."""

from cyclamenlift.membership.settings import MembershipSettings
from cyclamenlift.membership.state import MembershipState
from cyclamenlift.membership.tasks import Membership

__all__ = ['Membership', 'MembershipSettings', 'MembershipState']
