"""Text that can be written as UTF-8: JSON may escape halves of surrogate pairs."""

from __future__ import annotations

from typing import Annotated

from pydantic import AfterValidator

# Stands for what cannot be written.
REPLACEMENT = "\ufffd"


def check_writable(text: str) -> str:
    """Return a text that can be written.

    Raises:
        ValueError: It has half of a surrogate pair.
    """
    text.encode("utf-8")
    return text


def escape_unwritable(text: str) -> str:
    """Return a text in which halves of surrogate pairs are escaped."""
    return text.encode("utf-8", "backslashreplace").decode("utf-8")


def replace_unwritable(text: str) -> str:
    """Return a text in which halves of surrogate pairs are replaced."""
    if text.isascii():
        return text
    return "".join(
        REPLACEMENT if "\ud800" <= each <= "\udfff" else each for each in text
    )


# A text without which a document is invalid.
CheckedText = Annotated[str, AfterValidator(check_writable)]
# A name that operators chose.
EscapedText = Annotated[str, AfterValidator(escape_unwritable)]
# A key of the store: one that is replaced is no key that this project writes or uses.
ReplacedText = Annotated[str, AfterValidator(replace_unwritable)]
