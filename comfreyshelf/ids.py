"""Identifier and counter types shared by all modules."""

from typing import NewType

OrganisationId = NewType("OrganisationId", str)
CallerId = NewType("CallerId", str)
OperatorId = NewType("OperatorId", str)
ServiceId = NewType("ServiceId", str)
JobId = NewType("JobId", str)
RequestId = NewType("RequestId", str)
TargetId = NewType("TargetId", str)
RackId = NewType("RackId", str)
ZoneId = NewType("ZoneId", str)
RegionId = NewType("RegionId", str)
DomainId = NewType("DomainId", str)
EntryId = NewType("EntryId", str)
RecordId = NewType("RecordId", str)

Epoch = NewType("Epoch", int)
Version = NewType("Version", int)
Attempt = NewType("Attempt", int)
Offset = NewType("Offset", int)
