"""Identifier types shared by every subpackage.

Each identifier is a plain string at run time; the distinct types let a checker tell a server's
identifier from a host's.
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
EpochScope = NewType("EpochScope", str)
