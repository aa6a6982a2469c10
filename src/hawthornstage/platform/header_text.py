"""Text that is sent as the value of a header."""

from __future__ import annotations

import re
from urllib.parse import quote

# Values that arrive as they were sent: visible characters of Latin-1, with blanks only
# between them.
VISIBLE = r"[\x21-\x7e\x80-\xff]"
PLAIN_VALUE = re.compile(rf"{VISIBLE}([\t ]*{VISIBLE})*")
# Begins an extended value of RFC 8187; the name of the language is left empty.
EXTENDED_PREFIX = "UTF-8''"
# Characters that stand for themselves in an extended value, beside letters and digits.
EXTENDED_SAFE = "!#$&+-.^_`|~"


def is_plain_value(text: str) -> bool:
    """Whether a header can carry a text unchanged, and has something to carry."""
    return PLAIN_VALUE.fullmatch(text) is not None


def encode_value(text: str) -> str:
    """Return what a header carries for a text; it differs for different texts.

    A text that can be sent as it is stays so. Any other becomes an extended value of
    RFC 8187: `UTF-8''`, and the text's UTF-8 bytes with percent encoding. A text that
    looks like one is encoded, too.
    """
    extended = text.upper().startswith(EXTENDED_PREFIX)
    if not text or (is_plain_value(text) and not extended):
        return text
    data = text.encode("utf-8", "surrogatepass")
    return EXTENDED_PREFIX + quote(data, safe=EXTENDED_SAFE)
