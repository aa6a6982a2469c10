"""The ledger of draws as it lies in the store: CBOR, validated when read."""

from __future__ import annotations

from dataclasses import dataclass, field

import cbor2
from pydantic import TypeAdapter, ValidationError

# Routers whose last mark is kept; the oldest go first.
MAX_MARKS = 512


class DrawsFault(Exception):
    """The bytes are not a ledger of draws."""


@dataclass(frozen=True)
class DrawsDocument:
    """Tokens drawn by all routers.

    Args:
        drawn: Tokens drawn since the beginning, by workspace.
        marks: Mark of each router's last write, the oldest first.
    """

    drawn: dict[str, int] = field(default_factory=dict)
    marks: dict[str, str] = field(default_factory=dict)

    def with_draw(self, node: str, mark: str, granted: dict[str, int]) -> DrawsDocument:
        """Return the ledger after a router's draw."""
        drawn = dict(self.drawn)
        for workspace, tokens in granted.items():
            drawn[workspace] = max(0, drawn.get(workspace, 0) + tokens)
        marks = {name: each for name, each in self.marks.items() if name != node}
        marks[node] = mark
        excess = max(0, len(marks) - MAX_MARKS)
        return DrawsDocument(drawn, dict(list(marks.items())[excess:]))


ADAPTER = TypeAdapter(DrawsDocument)


def encode_draws(document: DrawsDocument) -> bytes:
    """Encode a ledger."""
    return cbor2.dumps({"drawn": document.drawn, "marks": document.marks})


def decode_draws(data: bytes) -> DrawsDocument:
    """Decode a ledger.

    Raises:
        DrawsFault: The bytes are not one.
    """
    try:
        return ADAPTER.validate_python(cbor2.loads(data))
    except (cbor2.CBORError, ValidationError, ValueError) as error:
        raise DrawsFault(str(error)) from error
