"""Types of the identifiers that all subpackages use.

An identifier is a plain string at run time. The distinct types let a type checker report, for
example, a server's identifier that is passed as a host's.
"""

from typing import NewType

__all__ = [
    "DataCentreId",
    "EpochScope",
    "HostId",
    "IdempotencyKey",
    "LeaseId",
    "RegionId",
    "RequestId",
    "ServerId",
    "ServiceId",
    "WorkspaceId",
]

HostId = NewType("HostId", str)
DataCentreId = NewType("DataCentreId", str)
RegionId = NewType("RegionId", str)
WorkspaceId = NewType("WorkspaceId", str)
ServiceId = NewType("ServiceId", str)
ServerId = NewType("ServerId", str)
RequestId = NewType("RequestId", str)
LeaseId = NewType("LeaseId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
# Group of hosts that share a sequence of epochs; the identifier of a data centre.
EpochScope = NewType("EpochScope", str)
