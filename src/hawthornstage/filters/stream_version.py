"""Stream version: finds the software version at which a caller's stream goes on."""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import partial
from typing import Any

import pykka

from hawthornstage.actors.ask import ask
from hawthornstage.actors.peers.messages import Send
from hawthornstage.actors.store_watch import sleep
from hawthornstage.actors.task import Recipient
from hawthornstage.clock import Clock
from hawthornstage.decisions.stream_holders import HOLDERS_ASKED
from hawthornstage.decisions.stream_versions import (
    VersionFound,
    VersionUnknown,
    resolve_version,
)
from hawthornstage.errors import ErrorKind, Failure
from hawthornstage.filters.forward import TASK_TIMEOUT_S
from hawthornstage.mailbox import Mailbox, ReplyCallback
from hawthornstage.messages.bounded_text import bounded_id
from hawthornstage.messages.forward import ForwardExchange
from hawthornstage.messages.stream_versions import (
    FindStreamVersion,
    RequestStreamVersion,
    StreamVersionReply,
    StreamVersionSources,
)
from hawthornstage.observe.events import EventLog

# Timeout of the replies of other routers, in seconds.
REPLY_TIMEOUT_S = 0.25
# Delay before routers are asked once more that did not reply, in seconds: links that
# were lost connect again within it.
ASK_AGAIN_AFTER_S = 0.55


@dataclass(frozen=True)
class ResolveStreamVersion:
    """Sets the version of a stream that a caller continues, or refuses the call.

    Args:
        streams: Task that owns the versions of streams.
        peers: Sends messages to other routers.
        clock: Source of timeouts.
        events: Structured event log.
    """

    streams: pykka.ActorRef
    peers: Recipient
    clock: Clock
    events: EventLog

    def apply(self, exchange: ForwardExchange) -> ForwardExchange | Failure:
        """Resolve the version of a continued stream; pass on all other calls."""
        call = exchange.call
        if not exchange.route.resumable or not call.continues_stream:
            return exchange
        request = RequestStreamVersion(bounded_id(call.resumes or ""), exchange.service)
        sources = ask(
            self.streams,
            FindStreamVersion(request),
            self.clock,
            timeout=TASK_TIMEOUT_S,
        )
        if not isinstance(sources, StreamVersionSources):
            return Failure(ErrorKind.OVERLOADED, "no reply about the stream's version")
        replies: dict[str, StreamVersionReply] = {}
        decision = self.resolve(request, sources, replies)
        self.log_decision(exchange, sources, replies, decision)
        match decision:
            case VersionFound(version):
                return replace(exchange, stream_version=version)
            case VersionUnknown() if len(replies) < len(sources.holders):
                return Failure(ErrorKind.STREAM_VERSION_UNKNOWN)
            case VersionUnknown():
                return Failure(
                    ErrorKind.STREAM_NOT_RESUMABLE,
                    "no router knows the version that began it",
                )

    def resolve(
        self,
        request: RequestStreamVersion,
        sources: StreamVersionSources,
        replies: dict[str, StreamVersionReply],
    ) -> VersionFound | VersionUnknown:
        """Ask the other routers, some twice if they don't reply, and decide.

        Those that were told first are asked first, then those that may have been told
        in place of them.

        Args:
            request: The question.
            sources: What this router knows, and whom to ask.
            replies: Extended by the replies, by the router's name.
        """
        holders = sources.holders
        alone = not holders
        first, further = holders[:HOLDERS_ASKED], holders[HOLDERS_ASKED:]
        decision = resolve_version(sources.own, (), alone=alone)
        for names, pause_s in (
            (first, 0.0),
            (further, 0.0),
            (holders, ASK_AGAIN_AFTER_S),
        ):
            missing = [name for name in names if name not in replies]
            if isinstance(decision, VersionFound) or not missing:
                continue
            sleep(self.clock, pause_s)
            self.ask_holders(request, missing, replies)
            decision = resolve_version(sources.own, replies.values(), alone=alone)
        return decision

    def ask_holders(
        self,
        request: RequestStreamVersion,
        nodes: list[str],
        replies: dict[str, StreamVersionReply],
    ) -> None:
        """Ask some routers at once, until one has noted the version or all replied."""
        mailbox = Mailbox(self.clock)
        for node in nodes:
            name_reply = partial(put_named, mailbox, node)
            self.peers.tell(Send(node, request, ReplyCallback(name_reply)))
        deadline = self.clock.monotonic() + REPLY_TIMEOUT_S
        for _ in nodes:
            named = mailbox.get(timeout=deadline - self.clock.monotonic())
            if named is None:
                return
            node, reply = named
            if isinstance(reply, StreamVersionReply):
                replies[node] = reply
                if reply.noted:
                    return

    def log_decision(
        self,
        exchange: ForwardExchange,
        sources: StreamVersionSources,
        replies: dict[str, StreamVersionReply],
        decision: VersionFound | VersionUnknown,
    ) -> None:
        """Log at which version a stream goes on, and what decided it."""
        known = [sources.own, *replies.values()]
        noted = sorted({version for each in known for version in each.noted})
        recent = sorted({version for each in known for version in each.recent})
        self.events.emit(
            "stream_version_resolved",
            request_id=exchange.call.id,
            began_with=exchange.call.resumes,
            service=exchange.service,
            version=getattr(decision, "version", None),
            noted=",".join(noted),
            recent=",".join(recent),
            asked=len(sources.holders),
            replied=len(replies),
        )


def put_named(mailbox: Mailbox, node: str, reply: Any) -> None:
    """Put a router's reply into a mailbox, together with the router's name."""
    mailbox.put((node, reply))
