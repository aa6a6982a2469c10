"""Frames between routers: CBOR maps, validated on arrival."""

from __future__ import annotations

from dataclasses import dataclass, fields
from functools import cache
from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError

from hawthornstage.border._cbor import dumps
from hawthornstage.messages import crashes, draws, events, fleet, members, money

# Every class of message that one router may send to another, by the name that a frame
# carries. Names stay as they are: routers of other builds send and read them.
FRAME_MESSAGES: dict[str, type] = {
    "Reserve": money.Reserve,
    "Reserved": money.Reserved,
    "Exhausted": money.BudgetExhausted,
    "Unavailable": money.HolderUnavailable,
    "Release": money.Release,
    "Settle": money.Settle,
    "Recall": money.RecallTokens,
    "KeepCopy": money.StoreBillCopy,
    "CopyKept": money.BillCopyStored,
    "CopyRefused": money.BillCopyRefused,
    "Seal": money.Seal,
    "Sealed": money.Sealed,
    "SealRefused": money.SealRefused,
    "Stored": money.BillsStored,
    "Acknowledged": money.Acknowledged,
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
    "TokensGiven": draws.TokensTransferred,
    "TokensHandedOver": draws.FinalTransfer,
    "TokensTakenOver": draws.FinalTransferAccepted,
    "StateBeat": fleet.DesiredStateHeartbeat,
    "DesiredStateWanted": fleet.RequestDesiredState,
    "DesiredStateOffered": fleet.DesiredStateOffered,
    "CallBroke": fleet.ServerFailedDuringCall,
}
FRAME_NAMES = {kind: name for name, kind in FRAME_MESSAGES.items()}


# Order of a rumour's values in its row.
RUMOUR_COLUMNS = tuple(each.name for each in fields(members.GossipEntry))


class FrameError(Exception):
    """The bytes are not a frame."""


@dataclass(frozen=True)
class Frame:
    """One message on a connection.

    Args:
        number: Joins a reply to its message; chosen by the sender.
        reply: Whether this is the reply.
        stamp: The sender's hybrid logical time.
        message: One of the known classes.
    """

    number: int
    reply: bool
    stamp: events.Stamp
    message: Any


@cache
def _adapter(kind: type) -> TypeAdapter[Any]:
    return TypeAdapter(kind)


def _pack(body: dict[str, Any]) -> dict[str, Any]:
    """Write rumours as rows: they are most of what idle routers send."""
    if not isinstance(body, dict) or "rumours" not in body:
        return body
    rows = [[rumour[name] for name in RUMOUR_COLUMNS] for rumour in body["rumours"]]
    return {**body, "rumours": rows}


def _unpack(body: dict[str, Any]) -> dict[str, Any]:
    if "rumours" not in body:
        return body
    rows = body["rumours"]
    rumours = [dict(zip(RUMOUR_COLUMNS, row, strict=True)) for row in rows]
    return {**body, "rumours": rumours}


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as CBOR."""
    kind = type(frame.message)
    body = {
        "n": frame.number,
        "r": frame.reply,
        "t": [frame.stamp.millis, frame.stamp.counter, frame.stamp.node],
        "k": FRAME_NAMES[kind],
        "m": _pack(_adapter(kind).dump_python(frame.message, mode="python")),
    }
    return dumps(body)


def decode_frame(data: bytes | str) -> Frame:
    """Decode and validate a frame.

    Raises:
        FrameError: The bytes are not a frame that this version knows.
    """
    if isinstance(data, str):
        raise FrameError("a text frame")
    try:
        body = cbor2.loads(data)
        kind = FRAME_MESSAGES[body["k"]]
        message = _adapter(kind).validate_python(_unpack(body["m"]))
        millis, counter, node = body["t"]
        stamp = events.Stamp(int(millis), int(counter), str(node))
        return Frame(int(body["n"]), bool(body["r"]), stamp, message)
    except (cbor2.CBORError, ValidationError, LookupError, TypeError, ValueError) as e:
        raise FrameError(f"{type(e).__name__}: {e}") from e
