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
    time = f"{at:%H:%M:%S}.{at.microsecond // 1000:03d}+{stamp['counter']}"
    return f"{time:<16} {stamp['node']:<12} {event['name']:<18} {request:<26} {fields}"


def describe_placement(fields: dict[str, Any]) -> str:
    """Describe the data on which the last server was chosen."""
    if "wait_ms" not in fields:
        return "the call was not sent to a server"
    last_response = (
        f"{fields['seen_age_ms']} ms ago" if "seen_age_ms" in fields else "never"
    )
    first_byte = (
        f"{fields['first_byte_ms']} ms" if "first_byte_ms" in fields else "none"
    )
    return (
        f"estimated wait {fields['wait_ms']} ms, {fields['candidates']} candidate"
        f" servers, {fields['unread']} uncached tokens, {fields['running']} running"
        f" calls, last response {last_response}; first byte after {first_byte}"
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
    summary: dict[str, Any] = {"outcome": "unknown"}
    for event in events:
        fields = event["fields"]
        match event["name"]:
            case "routed":
                summary["workspace"] = fields["workspace"]
                summary["route"] = (
                    f"{fields['route']} (purpose {fields['purpose']},"
                    f" tables revision {fields['revision']})"
                )
                summary["pool"] = fields["pool"]
            case "claimed":
                summary["claim"] = f"held by attempt {fields['attempt']}"
            case "reserved":
                summary["grant"] = (
                    f"{fields['grant']}, {fields['tokens']} tokens reserved"
                )
            case "placed":
                summary["servers"] = [*summary.get("servers", []), fields["server"]]
            case "retry":
                summary["retries"] = [*summary.get("retries", []), fields["reason"]]
            case "billed":
                summary["bill"] = f"{fields['tokens']} tokens under {fields['grant']}"
            case "bill_pending":
                summary["bill"] = f"{fields['tokens']} tokens, not yet final"
            case "answered" | "replayed" | "caller_left":
                summary["outcome"] = event["name"]
            case "attempt_failed":
                failed_attempt = (
                    f"{fields['server']}: {fields['outcome']} {fields['reason']}"
                )
                summary["attempts"] = [
                    *summary.get("attempts", []),
                    failed_attempt.strip(),
                ]
            case "call_ended":
                summary |= summarize_call(event["stamp"]["node"], fields)
            case "refused" | "stream_failed":
                detail = fields.get("detail") or fields.get("reason") or ""
                summary["outcome"] = (
                    f"{event['name']}: {fields['kind']} {detail}".strip()
                )
    return summary
