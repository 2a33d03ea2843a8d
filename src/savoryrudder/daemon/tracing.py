"""Record the spans of sampled traces in a file."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import Final
from typing import NamedTuple

import msgspec
from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.export import SpanExporter
from opentelemetry.sdk.trace.export import SpanExportResult
from opentelemetry.sdk.trace.sampling import ParentBased
from opentelemetry.sdk.trace.sampling import TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from opentelemetry.sdk.trace import ReadableSpan

_NAMESPACE: Final = 'savoryrudder'
_MAX_QUEUED_SPANS: Final = 8192
_MAX_BATCH_SPANS: Final = 512
_EXPORT_DELAY_MS: Final = 1000
_CARRIER_FIELD: Final = 'traceparent'


class SpanLine(NamedTuple):
    """Hold an exported span; times are nanoseconds since the epoch.

    `resource` identifies the process that recorded the span.
    """

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    start_ns: int
    end_ns: int
    attributes: dict[str, Any]
    resource: str


class _FileExporter(SpanExporter):
    """Append spans to a file; called in the batch processor's thread."""

    def __init__(self, path: str) -> None:
        self._output = Path(path).open('ab')
        self._encoder = msgspec.json.Encoder()

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write a batch of spans with one flush."""
        lines = [_span_line(span)._asdict() for span in spans]
        try:
            self._write(self._encoder.encode_lines(lines))
        except OSError:
            return SpanExportResult.FAILURE
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        self._output.close()

    def _write(self, content: bytes) -> None:
        self._output.write(content)
        self._output.flush()


class Tracer:
    """Record spans of sampled traces without blocking the event loop.

    A span joins the trace of its W3C `traceparent`; without one it starts a
    trace, which is sampled with the given ratio. Spans are queued and written
    in batches by a thread; when the queue is full, the oldest are dropped.
    """

    def __init__(
        self,
        path: str,
        ratio: float,
        resource: Mapping[str, str],
    ) -> None:
        """Write sampled spans to a file; an empty path writes none."""
        self._provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(ratio)),
            resource=Resource(dict(resource)),
            shutdown_on_exit=False,
        )
        if path:
            self._provider.add_span_processor(
                BatchSpanProcessor(
                    _FileExporter(path),
                    max_queue_size=_MAX_QUEUED_SPANS,
                    schedule_delay_millis=_EXPORT_DELAY_MS,
                    max_export_batch_size=_MAX_BATCH_SPANS,
                ),
            )
        self._tracer = self._provider.get_tracer(_NAMESPACE)
        self._propagator = TraceContextTextMapPropagator()

    def start(self, name: str, traceparent: str) -> Span:
        """Start a span; the caller ends it."""
        parent = self._parent_context(traceparent)
        return Span(
            self._tracer.start_span(name, context=parent),
            self._propagator,
        )

    def close(self) -> None:
        """Write the queued spans and close the file."""
        self._provider.shutdown()

    def _parent_context(self, traceparent: str) -> Context:
        carrier = {_CARRIER_FIELD: traceparent}
        return self._propagator.extract(carrier, Context())


class Span:
    """Measure one operation of a trace."""

    def __init__(
        self,
        span: trace.Span,
        propagator: TraceContextTextMapPropagator,
    ) -> None:
        """Wrap a started span."""
        self._span = span
        self._propagator = propagator

    @property
    def traceparent(self) -> str:
        """Return the W3C `traceparent` to send with messages."""
        carrier: dict[str, str] = {}
        context = trace.set_span_in_context(self._span)
        self._propagator.inject(carrier, context)
        return carrier.get(_CARRIER_FIELD, '')

    def set_attribute(self, name: str, content: str | int | float) -> None:
        """Set an attribute of the span."""
        self._span.set_attribute(name, content)

    def end(self) -> None:
        """Record the end time and queue the span for export."""
        self._span.end()


def _span_line(span: ReadableSpan) -> SpanLine:
    context = span.get_span_context() or trace.INVALID_SPAN_CONTEXT
    parent = span.parent
    return SpanLine(
        trace.format_trace_id(context.trace_id),
        trace.format_span_id(context.span_id),
        trace.format_span_id(parent.span_id) if parent else '',
        span.name,
        span.start_time or 0,
        span.end_time or 0,
        dict(span.attributes or {}),
        str(span.resource.attributes.get('service.instance.id', '')),
    )
