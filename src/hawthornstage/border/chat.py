"""Validated models of chat completion requests and of token usage."""

from __future__ import annotations

import hashlib
import json
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hawthornstage.messages.request import ChatCall, Usage

# Most tokens that a chat template adds per message, and once per prompt.
TEMPLATE_TOKENS = 16
# Characters at the start of a prompt whose hash selects a server with a warm cache.
PREFIX_CHARACTERS = 256


class InvalidCallError(Exception):
    """The body is not a valid chat request; the text names the fields and reasons."""


class MessageModel(BaseModel):
    """One message of a chat."""

    model_config = ConfigDict(extra="allow")
    role: str
    content: str | Annotated[list[dict[str, Any]], Field(fail_fast=True)] | None = None


class StreamOptionsModel(BaseModel):
    """Options of a streamed response."""

    model_config = ConfigDict(extra="allow")
    include_usage: bool = False


class ChatModel(BaseModel):
    """The body of `POST /v1/chat/completions`."""

    model_config = ConfigDict(extra="allow")
    model: str | None = None
    # An error takes far more memory than the element that causes it.
    # An error takes far more memory than the element that causes it: one is enough.
    messages: list[MessageModel] = Field(min_length=1, fail_fast=True)
    stream: bool = False
    stream_options: StreamOptionsModel | None = None
    max_tokens: int | None = Field(default=None, gt=0)
    max_completion_tokens: int | None = Field(default=None, gt=0)
    n: int = Field(default=1, ge=1, le=1)


class UsageModel(BaseModel):
    """Token usage as an engine reports it."""

    prompt_tokens: int = Field(ge=0)
    completion_tokens: int = Field(ge=0)


def parse_chat(body: bytes) -> ChatCall:
    """Parse and validate the body of a chat request.

    Raises:
        InvalidCallError: The body is not a valid chat request.
    """
    try:
        model = ChatModel.model_validate_json(body)
    except ValidationError as error:
        raise InvalidCallError(format_validation_errors(error)) from error
    plain = json.loads(body)
    prompt = "".join(_message_text(message) for message in model.messages)
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
    """Return the token usage in a response or in one chunk of a streamed response.

    Args:
        document: The decoded JSON document.

    Returns:
        The usage, or None if it is missing or invalid.
    """
    usage = document.get("usage") if isinstance(document, dict) else None
    if usage is None:
        return None
    try:
        model = UsageModel.model_validate(usage)
    except ValidationError:
        return None
    return Usage(model.prompt_tokens, model.completion_tokens)


def format_validation_errors(error: ValidationError) -> str:
    """Return one line that names each invalid field and what was expected."""
    return "; ".join(
        f"{'.'.join(str(part) for part in each['loc']) or 'body'}: {each['msg']}"
        for each in error.errors()
    )


def _message_text(message: MessageModel) -> str:
    if isinstance(message.content, str):
        return message.content
    return json.dumps(message.content) if message.content else ""
