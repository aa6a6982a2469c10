"""The task that parses chat requests, one at a time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from hawthornstage.actors.task import Ask, Task
from hawthornstage.border.chat import InvalidCallError, parse_chat
from hawthornstage.errors import ErrorKind, Failure


@dataclass(frozen=True)
class ParseChat:
    """Asks for a `ChatCall`, or the `Failure` of an invalid one.

    Args:
        body: The body of the request.
    """

    body: bytes


class ChatParser(Task):
    """Owns the memory that chat requests take while they are parsed.

    That is many times their bytes. One thread holds it for one of them at a time,
    however many come.

    Args:
        max_elements: Most JSON elements of a chat request.
    """

    def __init__(self, max_elements: int) -> None:
        super().__init__()
        self.max_elements = max_elements

    def handle(self, message: Any) -> None:
        match message:
            case Ask(message=ParseChat(body), reply_to=reply_to):
                try:
                    reply_to.put(parse_chat(body, self.max_elements))
                except InvalidCallError as error:
                    reply_to.put(Failure(ErrorKind.BAD_REQUEST, str(error)))
