"""The task that keeps copies of other routers' bills."""

from __future__ import annotations

from typing import Any

from hawthornstage.actors.task import Ask, Task
from hawthornstage.decisions.witness import WitnessState, step
from hawthornstage.messages.money import Acknowledged, Witness


class Witnesses(Task):
    """Owns the copies and the seals of this process.

    Args:
        me: The name under which grants know this process.
    """

    def __init__(self, me: Witness) -> None:
        super().__init__()
        self.state = WitnessState(me)

    def handle(self, message: Any) -> None:
        match message:
            case Ask(message=inner, reply_to=reply_to):
                self.state, reply = step(self.state, inner)
                reply_to.put(reply if reply is not None else Acknowledged())
