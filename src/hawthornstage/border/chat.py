"""Validated models of chat completion requests and of token usage."""

from __future__ import annotations

import hashlib
import json
import re
from dataclasses import replace
from itertools import islice
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic_core import from_json

from hawthornstage.messages.request import ChatCall, Usage

# Most tokens that a chat template adds per message, and once per prompt.
TEMPLATE_TOKENS = 16
# Characters at the start of a prompt whose hash selects a server with a warm cache.
PREFIX_CHARACTERS = 256
# Part of a text that is encoded at a time, in characters.
PART_CHARACTERS = 16_384
# Fields of a chat request that the router sets itself.
ROUTER_FIELDS = frozenset({"model", "max_tokens", "max_completion_tokens", "priority"})
# An element of a JSON document: a string, or what begins or separates others. A string
# without its end is one up to the end of the document.
ELEMENT = re.compile(rb'"(?:[^"\\]++|\\.)*+"?|[,\[{]', re.DOTALL)
# A string of a valid JSON document, with the colon that follows a name.
STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+"(\s*+:)?', re.DOTALL)
# What tells the members of a valid JSON object apart: strings, and marks outside them.
STRUCTURE = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[\[\]{},]', re.DOTALL)


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


def parse_chat(body: bytes, max_elements: int) -> ChatCall:
    """Parse and validate the body of a chat request.

    What it takes while it is parsed is up to five times its bytes, and some 150 bytes
    for each element.

    Args:
        body: The body.
        max_elements: Most elements of the JSON document; see `ELEMENT`.

    Raises:
        InvalidCallError: The body is not a valid chat request.
    """
    if has_more_elements(body, max_elements):
        raise InvalidCallError(f"body: more than {max_elements} JSON elements")
    # The parsed form is gone before the rest is taken from the bytes.
    call = _describe(body)
    return replace(call, members=_engine_part(body, stream=call.stream))


def _describe(body: bytes) -> ChatCall:
    """Return a chat request without the members that are passed on.

    Raises:
        InvalidCallError: The body is not a valid chat request.
    """
    try:
        document = from_json(body)
        model = ChatModel.model_validate(document)
    except ValidationError as error:
        raise InvalidCallError(format_validation_errors(error)) from error
    except ValueError as error:
        raise InvalidCallError(f"body: invalid JSON: {error}") from error
    if count_names(document) != sum(m[1] is not None for m in STRING.finditer(body)):
        raise InvalidCallError("body: a name stands twice in an object")
    bound = TEMPLATE_TOKENS * (len(model.messages) + 1)
    prefix = ""
    for message in model.messages:
        text = _message_text(message)
        bound += utf8_length(text)
        prefix += text[: PREFIX_CHARACTERS - len(prefix)]
    for key in {"tools", "functions"} & document.keys():
        bound += len(json.dumps(document[key]).encode())
    return ChatCall(
        members=b"",
        stream=model.stream,
        usage_requested=bool(
            model.stream_options and model.stream_options.include_usage
        ),
        max_prompt_tokens=bound,
        max_tokens=model.max_completion_tokens or model.max_tokens,
        prefix=hashlib.blake2b(prefix.encode(), digest_size=8).hexdigest(),
    )


def count_names(value: Any) -> int:
    """Return the number of names in all objects of a JSON value."""
    count, values = 0, [value]
    while values:
        match values.pop():
            case dict() as members:
                count += len(members)
                values.extend(members.values())
            case list() as elements:
                values.extend(elements)
    return count


def has_more_elements(body: bytes, most: int) -> bool:
    """Whether a JSON document has more than so many elements; see `ELEMENT`."""
    starts = sum(body.count(each) for each in (b",", b"[", b"{"))
    if starts + body.count(b'"') // 2 + 1 <= most:
        return False
    return next(islice(ELEMENT.finditer(body), most, None), None) is not None


def object_members(body: bytes) -> list[bytes]:
    """Return the members of a valid JSON object as they were written."""
    members, depth, start = [], 0, 0
    for match in STRUCTURE.finditer(body):
        mark = body[match.start()]
        depth += (mark in b"[{") - (mark in b"]}")
        if depth == 1 and mark in b"{":
            start = match.end()
        elif depth == 0 or (depth == 1 and mark in b","):
            members.append(body[start : match.start()])
            start = match.end()
    return members


def member_name(member: bytes) -> str:
    """Return the name of a member of a JSON object."""
    match = STRUCTURE.search(member)
    assert match is not None
    return json.loads(match[0])


def utf8_length(text: str) -> int:
    """Return the length of a text in UTF-8, in bytes.

    Encoding all of a text with one wide character takes four bytes for each.
    """
    starts = range(0, len(text), PART_CHARACTERS)
    return sum(len(text[each : each + PART_CHARACTERS].encode()) for each in starts)


def encode_engine_chat(call: ChatCall, fields: dict[str, Any]) -> bytes:
    """Return the body of a chat request to an engine.

    Args:
        call: The caller's request.
        fields: What the router sets itself.
    """
    if call.stream:
        usage = {"include_usage": True, "continuous_usage_stats": True}
        fields = {**fields, "stream_options": usage}
    own = json.dumps(fields).encode().removesuffix(b"}")
    return b"".join((own, b",", call.members, b"}"))


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


def _engine_part(body: bytes, *, stream: bool) -> bytes:
    """Return the members of a valid chat request that are passed on as they are."""
    replaced = ROUTER_FIELDS | ({"stream_options"} if stream else set())
    members = [
        each for each in object_members(body) if member_name(each) not in replaced
    ]
    return b",".join(members)


def _message_text(message: MessageModel) -> str:
    if isinstance(message.content, str):
        return message.content
    return json.dumps(message.content) if message.content else ""
