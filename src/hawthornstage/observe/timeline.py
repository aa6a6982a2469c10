"""The timeline: the events of all processes in one order."""

from __future__ import annotations

import heapq
from datetime import UTC, datetime
from typing import Any


def merge(answers: dict[str, list[dict[str, Any]]]) -> list[dict[str, Any]]:
    """Merge the events of several routers by timestamp.

    Args:
        answers: Each router's events, ordered by timestamp.
    """
    return list(heapq.merge(*answers.values(), key=sort_key))


def sort_key(event: dict[str, Any]) -> tuple[int, int, str]:
    """Return an event's timestamp as a sort key."""
    stamp = event["stamp"]
    return stamp["millis"], stamp["counter"], stamp["node"]


def format_event(event: dict[str, Any]) -> str:
    """Format an event as one line for display."""
    stamp = event["stamp"]
    at = datetime.fromtimestamp(stamp["millis"] / 1000, UTC)
    fields = " ".join(f"{name}={value}" for name, value in event["fields"].items())
    request = event["request_id"] or "-"
    clock = f"{at:%H:%M:%S}.{at.microsecond // 1000:03d}+{stamp['counter']}"
    return f"{clock:<16} {stamp['node']:<12} {event['name']:<18} {request:<26} {fields}"


def describe_placement(fields: dict[str, Any]) -> str:
    """Describe the data on which the last server was chosen."""
    if "wait_ms" not in fields:
        return "the call was not sent to a server"
    seen = f"{fields['seen_age_ms']} ms ago" if "seen_age_ms" in fields else "never"
    first = f"{fields['first_byte_ms']} ms" if "first_byte_ms" in fields else "none"
    return (
        f"estimated wait {fields['wait_ms']} ms, {fields['candidates']} candidate"
        f" servers, {fields['unread']} uncached tokens, {fields['running']} running"
        f" calls, last response {seen}; first byte after {first}"
    )


def summarize_call(node: str, fields: dict[str, Any]) -> dict[str, Any]:
    """Summarize the event that ends a forwarded call.

    Args:
        node: Name of the router.
        fields: Fields of the event.
    """
    return {
        "router": node,
        "workspace": fields["workspace"] or "-",
        "route": f"{fields['route'] or '-'} (desired state {fields['version']})",
        "servers": fields["servers"] or "no server was contacted",
        "placed": describe_placement(fields),
        "tokens": f"{fields['tokens']} used of {fields['reserved']} reserved",
        "events": fields["events"],
        "took": f"{fields['ms']} ms",
        "outcome": f"{fields['outcome']}, status {fields['status']}",
        "reason": fields["detail"] or "-",
    }


def explain(events: list[dict[str, Any]]) -> dict[str, Any]:
    """Summarize the events of one request.

    Args:
        events: The request's events, ordered by timestamp.
    """
    found: dict[str, Any] = {"outcome": "unknown"}
    for event in events:
        fields = event["fields"]
        match event["name"]:
            case "routed":
                found["workspace"] = fields["workspace"]
                found["route"] = (
                    f"{fields['route']} (purpose {fields['purpose']},"
                    f" tables revision {fields['revision']})"
                )
                found["pool"] = fields["pool"]
            case "claimed":
                found["claim"] = f"held by attempt {fields['attempt']}"
            case "reserved":
                found["grant"] = (
                    f"{fields['grant']}, {fields['tokens']} tokens reserved"
                )
            case "placed":
                found["servers"] = [*found.get("servers", []), fields["server"]]
            case "retry":
                found["retries"] = [*found.get("retries", []), fields["reason"]]
            case "billed":
                found["bill"] = f"{fields['tokens']} tokens under {fields['grant']}"
            case "bill_pending":
                found["bill"] = f"{fields['tokens']} tokens, not yet final"
            case "answered" | "replayed" | "caller_left":
                found["outcome"] = event["name"]
            case "attempt_failed":
                tried = f"{fields['server']}: {fields['outcome']} {fields['reason']}"
                found["attempts"] = [*found.get("attempts", []), tried.strip()]
            case "call_ended":
                found |= summarize_call(event["stamp"]["node"], fields)
            case "refused" | "stream_failed":
                detail = fields.get("detail") or fields.get("reason") or ""
                found["outcome"] = f"{event['name']}: {fields['kind']} {detail}".strip()
    return found
