"""Validated models of the callers' chat calls."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hawthornstage.messages.request import ChatCall, Usage

# Tokens that a chat template adds at most: to each message, and once.
TEMPLATE_TOKENS = 16
# Characters of the prompt that decide which server may have it cached.
PREFIX_CHARACTERS = 256


class CallFault(Exception):
    """The body is not a valid call; the text names the field and the reason."""


class MessageModel(BaseModel):
    """One message of a chat."""

    model_config = ConfigDict(extra="allow")
    role: str
    content: str | list[dict[str, Any]] | None = None


class StreamOptionsModel(BaseModel):
    """Options of a streamed answer."""

    model_config = ConfigDict(extra="allow")
    include_usage: bool = False


class ChatModel(BaseModel):
    """The body of `POST /v1/chat/completions`."""

    model_config = ConfigDict(extra="allow")
    model: str | None = None
    messages: list[MessageModel] = Field(min_length=1)
    stream: bool = False
    stream_options: StreamOptionsModel | None = None
    max_tokens: int | None = Field(default=None, gt=0)
    max_completion_tokens: int | None = Field(default=None, gt=0)
    n: int = Field(default=1, ge=1, le=1)


class UsageModel(BaseModel):
    """An engine's count of tokens."""

    prompt_tokens: int = Field(ge=0)
    completion_tokens: int = Field(ge=0)


def parse_chat(body: bytes) -> ChatCall:
    """Validate a chat call.

    Raises:
        CallFault: The body is not a chat call.
    """
    try:
        model = ChatModel.model_validate_json(body)
    except ValidationError as error:
        raise CallFault(describe(error)) from error
    plain = json.loads(body)
    prompt = "".join(_text(message) for message in model.messages)
    bound = len(prompt.encode()) + TEMPLATE_TOKENS * (len(model.messages) + 1)
    if extra := [key for key in ("tools", "functions") if key in plain]:
        bound += sum(len(json.dumps(plain[key]).encode()) for key in extra)
    return ChatCall(
        body=plain,
        stream=model.stream,
        usage_requested=bool(
            model.stream_options and model.stream_options.include_usage
        ),
        max_prompt_tokens=bound,
        max_tokens=model.max_completion_tokens or model.max_tokens,
        prefix=hashlib.blake2b(
            prompt[:PREFIX_CHARACTERS].encode(), digest_size=8
        ).hexdigest(),
    )


def parse_usage(document: Any) -> Usage | None:
    """Return an engine's count from an answer or a chunk of it, or None."""
    usage = document.get("usage") if isinstance(document, dict) else None
    if usage is None:
        return None
    try:
        model = UsageModel.model_validate(usage)
    except ValidationError:
        return None
    return Usage(model.prompt_tokens, model.completion_tokens)


def describe(error: ValidationError) -> str:
    """Name each wrong field and what was expected there."""
    return "; ".join(
        f"{'.'.join(str(part) for part in each['loc']) or 'body'}: {each['msg']}"
        for each in error.errors()
    )


def _text(message: MessageModel) -> str:
    if isinstance(message.content, str):
        return message.content
    return json.dumps(message.content) if message.content else ""
