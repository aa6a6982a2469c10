"""Bounds how long a router waits for news from the store, and acts on late news.

Answers a store that falls silent and comes back: a watch whose response was lost looks
like one without news, and a change that is read after an outage may be seconds old.
Times are seconds of the monotonic clock.
"""

from __future__ import annotations

# Time to notice after a watch's own wait that its response was lost, to repeat it and
# to act on the response, in seconds.
DETECTION_S = 3.0
# Shortest wait of a watch, in seconds: the store charges for each call.
MIN_WATCH_S = 0.5
# Pause between two watches for each router of the fleet, and the longest, in seconds:
# the changes of a pause come with one call, and large fleets make many calls.
PAUSE_PER_ROUTER_S = 1 / 60
MAX_PAUSE_S = 1.0
# Time in which a call that was just given a server reaches it, in seconds.
SEND_MARGIN_S = 0.2


def longest_watch(settled_s: float, bound_s: float) -> float:
    """Return the longest wait of one watch, in seconds.

    Args:
        settled_s: Time after an outage from which the bound applies again.
        bound_s: Time from a change in the store until it must have taken effect.
    """
    return max(MIN_WATCH_S, settled_s + bound_s - DETECTION_S)


def watch_pause(routers: int) -> float:
    """Return the pause between two watches in a fleet of routers, in seconds."""
    return min(MAX_PAUSE_S, routers * PAUSE_PER_ROUTER_S)


def earliest_removal(
    now: float, *, heard_at: float, down_at: float, settled_s: float
) -> float:
    """Return the earliest time from which the removal of an entry is binding.

    Args:
        now: Time at which the removal was read.
        heard_at: Time at which the entry was last known to be there.
        down_at: Last time at which the store may have been down.
        settled_s: Time after an outage before which no removal is binding.
    """
    return min(now, max(heard_at, down_at + settled_s))


def longest_lapse(drain_s: float, delay_s: float) -> float:
    """Return how long a removed entry may stay in use, in seconds.

    Args:
        drain_s: Time from a server's leaving until it must get nothing new.
        delay_s: Longest time from the removal until it is read.
    """
    return max(0.0, drain_s - delay_s - SEND_MARGIN_S)
