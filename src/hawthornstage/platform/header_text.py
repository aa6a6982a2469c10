"""Text that is sent as the value of a header."""

from __future__ import annotations

import re

# Values that arrive as they were sent: visible characters of Latin-1, with blanks only
# between them.
VISIBLE = r"[\x21-\x7e\x80-\xff]"
PLAIN_VALUE = re.compile(rf"{VISIBLE}([\t ]*{VISIBLE})*")


def is_plain_value(text: str) -> bool:
    """Whether a header can carry a text unchanged, and has something to carry."""
    return PLAIN_VALUE.fullmatch(text) is not None
