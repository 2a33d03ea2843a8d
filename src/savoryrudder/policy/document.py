"""Parse TOML text and locate its keys."""

from __future__ import annotations

import re
import tomllib
from functools import cached_property
from typing import Any
from typing import Final
from typing import NamedTuple

import tree_sitter_toml
from expression import Error
from expression import Ok
from expression import Result
from tree_sitter import Language
from tree_sitter import Node
from tree_sitter import Parser
from tree_sitter import Point

from savoryrudder.policy.findings import Finding
from savoryrudder.policy.findings import KeyPath
from savoryrudder.policy.findings import Position

MAX_TEXT_BYTES: Final = 1_000_000

# tomllib's memory use grows with the square of the number of parts of a dotted
# key: a key of 200,000 parts took several GB. Strings and comments are matched
# as well, because they cannot be told apart before the text is parsed.
_LONG_KEY: Final = re.compile(
    r'(?<![\w-])(?:(?:[\w-]+|"[^"\n]*"|\'[^\'\n]*\')[ \t]*\.[ \t]*){16}',
)
_START: Final = Position(1, 1)
_LANGUAGE: Final = Language(tree_sitter_toml.language())
_KEY_TYPES: Final = frozenset(('bare_key', 'quoted_key', 'dotted_key'))
_POSITION_SUFFIX: Final = re.compile(r' \(at line (\d+), column (\d+)\)\Z')
_END_SUFFIX: Final = ' (at end of document)'


class _Container(NamedTuple):
    """Hold a syntax node that contains pairs or elements, and its key path."""

    node: Node
    path: KeyPath


class Document:
    """Hold the values of a TOML text.

    The text is kept to find the positions of keys when they are needed.
    """

    def __init__(self, text: str, values: dict[str, Any]) -> None:
        self.values = values
        self._text = text

    def locate(self, path: KeyPath) -> Position:
        """Return the position of a key path or its closest known parent."""
        for length in range(len(path), 0, -1):
            point = self._key_points.get(path[:length])
            if point is not None:
                return self._to_position(point)
        return _START

    @cached_property
    def _key_points(self) -> dict[KeyPath, Point]:
        return _KeyReader(self._text).read()

    @cached_property
    def _lines(self) -> list[bytes]:
        return self._text.encode().split(b'\n')

    def _to_position(self, point: Point) -> Position:
        # The syntax tree counts columns in bytes.
        before = self._lines[point.row][: point.column].decode()
        return Position(point.row + 1, len(before) + 1)


def parse_toml(text: str) -> Result[Document, tuple[Finding, ...]]:
    """Parse TOML text of at most 1 MB; a syntax error is a finding."""
    try:
        size = len(text.encode())
    except UnicodeEncodeError as error:
        position = _position_at(text, error.start)
        return _single_finding(position, 'the text is not valid Unicode')
    if size > MAX_TEXT_BYTES:
        return _single_finding(
            _START,
            f'the text has {size} bytes, at most {MAX_TEXT_BYTES} are allowed',
        )
    long_key = _LONG_KEY.search(text)
    if long_key is not None:
        return _single_finding(
            _position_at(text, long_key.start()),
            'more than 16 names joined by dots',
        )
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return _single_finding(*_syntax_error(text, str(error)))
    except ValueError:
        # For an integer of more than 4300 digits Python raises an error that
        # has no position.
        return _single_finding(_START, 'a number or date is out of range')
    except RecursionError:
        return _single_finding(_START, 'arrays or tables are nested too deeply')
    return Ok(Document(text, values))


def _single_finding(
    position: Position,
    message: str,
) -> Result[Document, tuple[Finding, ...]]:
    return Error((Finding(position.line, position.column, '', message),))


def _syntax_error(text: str, message: str) -> tuple[Position, str]:
    match = _POSITION_SUFFIX.search(message)
    if match is None:
        end = _position_at(text, len(text))
        return end, _syntax_message(message.removesuffix(_END_SUFFIX))
    position = Position(int(match.group(1)), int(match.group(2)))
    return position, _syntax_message(message[: match.start()])


def _syntax_message(message: str) -> str:
    return f'syntax error: {message[:1].lower()}{message[1:]}'


def _position_at(text: str, index: int) -> Position:
    before = text[:index]
    column = index - before.rfind('\n')
    return Position(before.count('\n') + 1, column)


class _KeyReader:
    """Map the key paths of a syntax tree to rows and byte columns."""

    def __init__(self, text: str) -> None:
        """Parse the text, which tomllib has accepted."""
        self._root = Parser(_LANGUAGE).parse(text.encode()).root_node
        self._key_points: dict[KeyPath, Point] = {}

    def read(self) -> dict[KeyPath, Point]:
        """Return the first position of each key path."""
        pending = [_Container(self._root, ())]
        while pending:
            container = pending.pop()
            # The index of an array element depends on the order of the text, so
            # children are visited in that order.
            pending.extend(reversed(self._read_children(container)))
        return self._key_points

    def _read_children(self, container: _Container) -> list[_Container]:
        if container.node.type == 'array':
            return self._read_elements(container)
        containers: list[_Container] = []
        for child in container.node.named_children:
            if child.type == 'pair':
                containers.extend(self._read_pair(child, container.path))
            elif child.type == 'table':
                containers.append(_Container(child, self._read_header(child)))
            elif child.type == 'table_array_element':
                # No schema has arrays of tables: the array itself is the
                # error, and its header is all that has to be located.
                self._read_header(child)
        return containers

    def _read_pair(self, pair: Node, prefix: KeyPath) -> list[_Container]:
        children = pair.named_children
        path = self._read_key(children[0], prefix)
        return [
            _Container(child, path)
            for child in children[1:]
            if child.type in {'array', 'inline_table'}
        ]

    def _read_elements(self, array: _Container) -> list[_Container]:
        elements = [
            child
            for child in array.node.named_children
            if child.type != 'comment'
        ]
        containers: list[_Container] = []
        for index, element in enumerate(elements):
            path = (*array.path, index)
            self._key_points.setdefault(path, element.start_point)
            containers.append(_Container(element, path))
        return containers

    def _read_header(self, table: Node) -> KeyPath:
        for child in table.named_children:
            if child.type in _KEY_TYPES:
                return self._read_key(child, ())
        return ()

    def _read_key(self, key: Node, prefix: KeyPath) -> KeyPath:
        path = prefix
        for part in _key_parts(key):
            path = (*path, part)
            self._key_points.setdefault(path, key.start_point)
        return path


def _key_parts(key: Node) -> list[str]:
    source = (key.text or b'').decode()
    if key.type == 'bare_key':
        return [source]
    # tomllib resolves the quotes, escapes and dots of the key.
    try:
        value: Any = tomllib.loads(f'{source} = 0')
    except ValueError:
        return []
    parts: list[str] = []
    while isinstance(value, dict):
        part = next(iter(value))
        parts.append(part)
        value = value[part]
    return parts
