"""Frames between routers: CBOR maps that are validated when they are received."""

from __future__ import annotations

from dataclasses import dataclass, fields
from functools import cache
from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError

from hawthornstage.border._cbor import dumps
from hawthornstage.messages import (
    budget_messages,
    call_leases,
    crashes,
    draws,
    evacuations,
    events,
    fleet,
    members,
    server_limits,
    server_notices,
    shared_watches,
    stream_versions,
    tunnels,
)

# Every class of message that one router may send to another, by its name in frames.
# The names must not change: routers of other builds send and read them.
FRAME_MESSAGES: dict[str, type] = {
    "Reserve": budget_messages.Reserve,
    "Reserved": budget_messages.Reserved,
    "Exhausted": budget_messages.BudgetExhausted,
    "Unavailable": budget_messages.HolderUnavailable,
    "Release": budget_messages.Release,
    "Settle": budget_messages.Settle,
    "Recall": budget_messages.RecallTokens,
    "KeepCopy": budget_messages.StoreBillCopy,
    "CopyKept": budget_messages.BillCopyStored,
    "CopyRefused": budget_messages.BillCopyRefused,
    "Seal": budget_messages.Seal,
    "Sealed": budget_messages.Sealed,
    "SealRefused": budget_messages.SealRefused,
    "Stored": budget_messages.BillsStored,
    "Acknowledged": budget_messages.Acknowledged,
    "Heartbeat": members.Heartbeat,
    "TablesWanted": members.RequestTables,
    "TablesOffered": members.TablesOffered,
    "SuspectSeen": crashes.SuspectReported,
    "SuspectCleared": crashes.SuspectCleared,
    "RequestBlocked": crashes.RequestBlocked,
    "AskSlot": crashes.RequestSlot,
    "SlotGranted": crashes.SlotGranted,
    "ReleaseSlot": crashes.ReleaseSlot,
    "TokensWanted": draws.RequestTransfer,
    "CallTokensWanted": draws.RequestCallTokens,
    "TokensGiven": draws.TokensTransferred,
    "TokensHandedOver": draws.FinalTransfer,
    "TokensTakenOver": draws.FinalTransferAccepted,
    "CountsStored": draws.CountsStored,
    "StateBeat": fleet.DesiredStateHeartbeat,
    "DesiredStateWanted": fleet.RequestDesiredState,
    "DesiredStateOffered": fleet.DesiredStateOffered,
    "CompressedStateWanted": fleet.RequestCompressedState,
    "CompressedStateOffered": fleet.CompressedStateOffered,
    "CallBroke": fleet.ServerFailedDuringCall,
    "CallBlocked": fleet.CallBlocked,
    "LeavingAnnounced": server_notices.LeavingAnnounced,
    "ClosedAnnounced": server_notices.ClosedAnnounced,
    "LimitAnnounced": server_limits.LimitAnnounced,
    "RequestPermit": server_limits.RequestPermit,
    "PermitGranted": server_limits.PermitGranted,
    "PermitDenied": server_limits.PermitDenied,
    "RequestTunnel": tunnels.RequestTunnel,
    "TunnelOpened": tunnels.TunnelOpened,
    "TunnelRefused": tunnels.TunnelRefused,
    "FragileAnnounced": call_leases.FragileAnnounced,
    "RequestCallLease": call_leases.RequestCallLease,
    "CallLeaseGranted": call_leases.CallLeaseGranted,
    "CallLeaseEnded": call_leases.CallLeaseEnded,
    "StreamVersionNoted": stream_versions.StreamVersionNoted,
    "RequestStreamVersion": stream_versions.RequestStreamVersion,
    "StreamVersionReply": stream_versions.StreamVersionReply,
    "EvacuationsAnnounced": evacuations.EvacuationsAnnounced,
    "RequestChanges": shared_watches.RequestChanges,
    "ChangesRead": shared_watches.ChangesRead,
    "ChangesUnavailable": shared_watches.ChangesUnavailable,
}
FRAME_NAMES = {message_type: name for name, message_type in FRAME_MESSAGES.items()}


# Order of the values in a row that encodes one gossip entry.
GOSSIP_COLUMNS = tuple(each.name for each in fields(members.GossipEntry))
# Fields that are left out where they are empty, as older builds do.
OPTIONAL_FIELDS = frozenset({"age_s", "region", "regions", "slow_start"})


class FrameError(Exception):
    """The bytes are not a valid frame."""


@dataclass(frozen=True)
class Frame:
    """One message on a connection between routers.

    Args:
        number: Correlates a reply with its message; chosen by the message's sender.
        reply: Whether this is the reply.
        stamp: The sender's hybrid logical time.
        message: An instance of a class in `FRAME_MESSAGES`.
    """

    number: int
    reply: bool
    stamp: events.Stamp
    message: Any


@cache
def _adapter(message_type: type) -> TypeAdapter[Any]:
    return TypeAdapter(message_type)


def _pack_gossip(body: dict[str, Any]) -> dict[str, Any]:
    """Write gossip entries as rows without keys: they are most of the idle traffic."""
    if not isinstance(body, dict) or "rumours" not in body:
        return body
    rows = [[entry[name] for name in GOSSIP_COLUMNS] for entry in body["rumours"]]
    return {**body, "rumours": rows}


def _unpack_gossip(body: dict[str, Any]) -> dict[str, Any]:
    if "rumours" not in body:
        return body
    rows = body["rumours"]
    entries = [dict(zip(GOSSIP_COLUMNS, row, strict=True)) for row in rows]
    return {**body, "rumours": entries}


def _drop_empty(value: Any) -> Any:
    """Drop the optional fields that are empty from a message and what it holds."""
    if not isinstance(value, dict):
        return value
    return {
        name: _drop_empty(each)
        for name, each in value.items()
        if not (name in OPTIONAL_FIELDS and each is None)
    }


def encode_frame(frame: Frame) -> bytes:
    """Return a frame as CBOR.

    Raises:
        FrameError: The message has a text that can't be encoded.
    """
    message_type = type(frame.message)
    body = {
        "n": frame.number,
        "r": frame.reply,
        "t": [frame.stamp.millis, frame.stamp.counter, frame.stamp.node],
        "k": FRAME_NAMES[message_type],
        "m": _drop_empty(
            _pack_gossip(
                _adapter(message_type).dump_python(frame.message, mode="python")
            )
        ),
    }
    try:
        return dumps(body)
    except ValueError as error:
        raise FrameError(f"{FRAME_NAMES[message_type]}: {error}") from error


def decode_frame(data: bytes | str) -> Frame:
    """Decode and validate a frame.

    Raises:
        FrameError: The data is text, not a valid frame, or has a message of an unknown
            class.
    """
    if isinstance(data, str):
        raise FrameError("expected a binary frame, got a text frame")
    try:
        body = cbor2.loads(data)
        message_type = FRAME_MESSAGES[body["k"]]
        message = _adapter(message_type).validate_python(_unpack_gossip(body["m"]))
        millis, counter, node = body["t"]
        stamp = events.Stamp(int(millis), int(counter), str(node))
        return Frame(int(body["n"]), bool(body["r"]), stamp, message)
    except (cbor2.CBORError, ValidationError, LookupError, TypeError, ValueError) as e:
        raise FrameError(f"{type(e).__name__}: {e}") from e
