"""Decode the operators' configuration from the store."""

from __future__ import annotations

from types import MappingProxyType
from typing import Annotated
from typing import Final

import msgspec
from expression import Result

from savoryrudder.daemon.request_limits import DEFAULT_LIMITS
from savoryrudder.daemon.request_limits import RequestLimits
from savoryrudder.jobs.model import Configuration
from savoryrudder.jobs.model import Queue
from savoryrudder.utils.checked import Natural
from savoryrudder.utils.checked import decode
from savoryrudder.utils.units import MS_PER_S

CONFIGURATION_KEY: Final = 'op/config'


_MAX_STRETCH: Final = 1000
# Bytes and times are counted differently by clients.
_HEAD_MARGIN_BYTES: Final = 4096
_TIMEOUT_MARGIN: Final = 2
# A name of one byte, a colon and the end of the line.
_MIN_HEADER_BYTES: Final = 4


class _RouteBody(msgspec.Struct):
    name: str
    host: str
    prefix: str
    service: str
    priority: Natural = 0
    attempts: Natural = 1
    stretch: Annotated[float, msgspec.Meta(ge=0, le=_MAX_STRETCH)] = 1.0
    target_duration_ms: Natural = 0


class _ConfigurationBody(msgspec.Struct):
    version: Natural
    # The platform calls a queue a route.
    routes: list[_RouteBody]


class _LimitsBody(msgspec.Struct):
    # 0 and a missing field stand for the default.
    max_header_bytes: Natural = 0
    max_body_bytes: Natural = 0
    header_timeout_ms: Natural = 0


class _LimitedBody(msgspec.Struct):
    limits: _LimitsBody = msgspec.field(default_factory=_LimitsBody)


_limits_decoder: Final = msgspec.json.Decoder(_LimitedBody, strict=False)
_decoder: Final = msgspec.json.Decoder(_ConfigurationBody, strict=False)


def decode_configuration(content: str) -> Result[Configuration, str]:
    """Decode a configuration; an error says what is invalid."""
    return decode(_decoder, content).map(_convert)


def decode_request_limits(content: str) -> Result[RequestLimits, str]:
    """Decode the limits of requests; an error says what is invalid."""
    return decode(_limits_decoder, content).map(_convert_limits)


def _convert_limits(body: _LimitedBody) -> RequestLimits:
    limits = body.limits
    default = DEFAULT_LIMITS
    return default._replace(
        max_head_bytes=max(
            limits.max_header_bytes + _HEAD_MARGIN_BYTES,
            default.max_head_bytes,
        ),
        max_headers=max(
            limits.max_header_bytes // _MIN_HEADER_BYTES,
            default.max_headers,
        ),
        max_body_bytes=limits.max_body_bytes or default.max_body_bytes,
        head_s=max(
            limits.header_timeout_ms * _TIMEOUT_MARGIN / MS_PER_S,
            default.head_s,
        ),
    )


def _convert(body: _ConfigurationBody) -> Configuration:
    queues = {
        route.name: Queue(
            route.name,
            route.host,
            route.prefix,
            route.service,
            route.priority,
            route.attempts,
            route.stretch,
            route.target_duration_ms,
        )
        for route in body.routes
    }
    return Configuration(body.version, MappingProxyType(queues))
