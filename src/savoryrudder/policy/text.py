"""Read TOML text and find the position of its keys."""

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

# tomllib's memory grows with the square of a key's parts: one key of 200,000
# parts took several GB. Strings and comments are matched as well, because they
# cannot be told apart before the text is parsed.
_LONG_KEY: Final = re.compile(
    r'(?<![\w-])(?:(?:[\w-]+|"[^"\n]*"|\'[^\'\n]*\')[ \t]*\.[ \t]*){16}',
)
_START: Final = Position(1, 1)
_LANGUAGE: Final = Language(tree_sitter_toml.language())
_KEY_TYPES: Final = frozenset(('bare_key', 'quoted_key', 'dotted_key'))
_PLACE: Final = re.compile(r' \(at line (\d+), column (\d+)\)\Z')
_END: Final = ' (at end of document)'


class _Table(NamedTuple):
    """Hold a syntax node that contains pairs or elements, and its path."""

    node: Node
    path: KeyPath


class Document:
    """Hold the values of a TOML text; positions are read on demand."""

    def __init__(self, text: str, values: dict[str, Any]) -> None:
        """Keep the text for the positions."""
        self.values = values
        self._text = text

    def locate(self, path: KeyPath) -> Position:
        """Return the position of a key path or its nearest known parent."""
        for length in range(len(path), 0, -1):
            place = self._places.get(path[:length])
            if place is not None:
                return self._to_position(place)
        return _START

    @cached_property
    def _places(self) -> dict[KeyPath, Point]:
        return _PlaceReader(self._text).read()

    @cached_property
    def _lines(self) -> list[bytes]:
        return self._text.encode().split(b'\n')

    def _to_position(self, place: Point) -> Position:
        # The syntax tree counts columns in bytes.
        before = self._lines[place.row][: place.column].decode()
        return Position(place.row + 1, len(before) + 1)


def parse_text(text: str) -> Result[Document, tuple[Finding, ...]]:
    """Parse TOML text of at most 1 MB; a fault in the syntax is a finding."""
    try:
        size = len(text.encode())
    except UnicodeEncodeError as error:
        position = _position_at(text, error.start)
        return _refused(position, 'the text is not valid Unicode')
    if size > MAX_TEXT_BYTES:
        return _refused(
            _START,
            f'the text has {size} bytes, at most {MAX_TEXT_BYTES} are allowed',
        )
    long_key = _LONG_KEY.search(text)
    if long_key is not None:
        return _refused(
            _position_at(text, long_key.start()),
            'more than 16 names joined by dots',
        )
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return _refused(*_syntax_fault(text, str(error)))
    except ValueError:
        # Python refuses integers of more than 4300 digits without a position.
        return _refused(_START, 'a number or date is out of range')
    except RecursionError:
        return _refused(_START, 'arrays or tables are nested too deeply')
    return Ok(Document(text, values))


def _refused(
    position: Position,
    message: str,
) -> Result[Document, tuple[Finding, ...]]:
    return Error((Finding(position.line, position.column, '', message),))


def _syntax_fault(text: str, message: str) -> tuple[Position, str]:
    place = _PLACE.search(message)
    if place is None:
        end = _position_at(text, len(text))
        return end, _syntax_message(message.removesuffix(_END))
    position = Position(int(place.group(1)), int(place.group(2)))
    return position, _syntax_message(message[: place.start()])


def _syntax_message(message: str) -> str:
    return f'syntax error: {message[:1].lower()}{message[1:]}'


def _position_at(text: str, index: int) -> Position:
    before = text[:index]
    column = index - before.rfind('\n')
    return Position(before.count('\n') + 1, column)


class _PlaceReader:
    """Map the key paths of a syntax tree to rows and byte columns."""

    def __init__(self, text: str) -> None:
        """Parse the text, which tomllib has accepted."""
        self._root = Parser(_LANGUAGE).parse(text.encode()).root_node
        self._places: dict[KeyPath, Point] = {}

    def read(self) -> dict[KeyPath, Point]:
        """Return the first place of each key path."""
        pending = [_Table(self._root, ())]
        while pending:
            table = pending.pop()
            # The order of the text decides the index of an array element.
            pending.extend(reversed(self._read_children(table)))
        return self._places

    def _read_children(self, table: _Table) -> list[_Table]:
        if table.node.type == 'array':
            return self._read_elements(table)
        inner: list[_Table] = []
        for child in table.node.named_children:
            if child.type == 'pair':
                inner.extend(self._read_pair(child, table.path))
            elif child.type == 'table':
                inner.append(_Table(child, self._read_header(child)))
            elif child.type == 'table_array_element':
                # No text has arrays of tables: the array is the fault.
                self._read_header(child)
        return inner

    def _read_pair(self, pair: Node, prefix: KeyPath) -> list[_Table]:
        children = pair.named_children
        path = self._read_key(children[0], prefix)
        return [
            _Table(child, path)
            for child in children[1:]
            if child.type in {'array', 'inline_table'}
        ]

    def _read_elements(self, array: _Table) -> list[_Table]:
        elements = [
            child
            for child in array.node.named_children
            if child.type != 'comment'
        ]
        inner: list[_Table] = []
        for index, element in enumerate(elements):
            path = (*array.path, index)
            self._places.setdefault(path, element.start_point)
            inner.append(_Table(element, path))
        return inner

    def _read_header(self, table: Node) -> KeyPath:
        for child in table.named_children:
            if child.type in _KEY_TYPES:
                return self._read_key(child, ())
        return ()

    def _read_key(self, key: Node, prefix: KeyPath) -> KeyPath:
        path = prefix
        for part in _key_parts(key):
            path = (*path, part)
            self._places.setdefault(path, key.start_point)
        return path


def _key_parts(key: Node) -> list[str]:
    source = (key.text or b'').decode()
    if key.type == 'bare_key':
        return [source]
    # tomllib itself resolves quotes, escapes and dots of a key.
    try:
        level: Any = tomllib.loads(f'{source} = 0')
    except ValueError:
        return []
    parts: list[str] = []
    while isinstance(level, dict):
        part = next(iter(level))
        parts.append(part)
        level = level[part]
    return parts
