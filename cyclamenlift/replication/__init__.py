"""The replicated log (Raft) of the control instances."""

from cyclamenlift.replication.machine import StateMachine
from cyclamenlift.replication.queries import InstanceStatus
from cyclamenlift.replication.queries import ReplicaStatus
from cyclamenlift.replication.queries import Role
from cyclamenlift.replication.settings import ReplicaSettings
from cyclamenlift.replication.tasks import Replica

__all__ = [
    'InstanceStatus',
    'Replica',
    'ReplicaSettings',
    'ReplicaStatus',
    'Role',
    'StateMachine',
]
