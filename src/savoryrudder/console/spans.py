"""Read span files and format the spans of a trace as a tree."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from typing import Final

import msgspec

_NS_PER_MS: Final = 1_000_000


class Span(msgspec.Struct):
    """Hold a span from one line of a span file; unknown fields are ignored."""

    trace_id: str
    span_id: str
    name: str
    start_ns: int
    end_ns: int
    parent_id: str | None = None
    attributes: dict[str, Any] = {}
    resource: str = ''

    @property
    def duration_ms(self) -> float:
        """Return the duration in milliseconds."""
        return (self.end_ns - self.start_ns) / _NS_PER_MS


class SpanTree:
    """Arrange the spans of a trace; a span without its parent is a root."""

    def __init__(self, spans: Iterable[Span], trace_id: str) -> None:
        """Select the spans of the trace and sort them by start time."""
        self._trace_id = trace_id
        self._spans = sorted(
            (span for span in spans if span.trace_id == trace_id),
            key=lambda span: (span.start_ns, span.span_id),
        )
        span_ids = {span.span_id for span in self._spans}
        self._children: dict[str, list[Span]] = defaultdict(list)
        for span in self._spans:
            parent = span.parent_id or ''
            self._children[parent if parent in span_ids else ''].append(span)

    def summary(self) -> str:
        """Return one line that describes the trace."""
        first = self._spans[0]
        end_ns = max(span.end_ns for span in self._spans)
        duration_ms = (end_ns - first.start_ns) / _NS_PER_MS
        return (
            f'{self._trace_id}  {first.name}  {len(self._spans)} spans  '
            f'{duration_ms:.3f} ms'
        )

    def as_rows(self) -> list[dict[str, Any]]:
        """Return the spans as dictionaries, sorted by start time."""
        return [msgspec.structs.asdict(span) for span in self._spans]

    def as_lines(self) -> Iterator[str]:
        """Yield the summary and one indented line for each span."""
        yield self.summary()
        pending = [(span, 1) for span in reversed(self._children[''])]
        while pending:
            span, depth = pending.pop()
            yield self._format_span(span, depth)
            pending.extend(
                (child, depth + 1)
                for child in reversed(self._children[span.span_id])
            )

    def _format_span(self, span: Span, depth: int) -> str:
        offset_ms = (span.start_ns - self._spans[0].start_ns) / _NS_PER_MS
        details = [f'{name}={value}' for name, value in span.attributes.items()]
        return '  '.join(
            (
                '{0}{1}'.format('  ' * depth, span.name),
                f'+{offset_ms:.3f} ms',
                f'{span.duration_ms:.3f} ms',
                f'[{span.resource}]',
                *details,
            ),
        )


def read_spans(files: Iterable[str]) -> tuple[list[Span], list[str]]:
    """Return the spans of the files and an error for each malformed line.

    Raises OSError when a file cannot be read. The last line of a file that is
    being written may be incomplete.
    """
    spans: list[Span] = []
    errors: list[str] = []
    for file in files:
        lines = Path(file).read_bytes().splitlines()
        for number, line in enumerate(lines, start=1):
            try:
                spans.append(msgspec.json.decode(line, type=Span))
            except (msgspec.DecodeError, UnicodeDecodeError) as error:
                errors.append(f'{file}:{number}: {error}')
    return spans, errors
