"""Decode the operators' configuration from the store."""

from __future__ import annotations

from types import MappingProxyType
from typing import Annotated
from typing import Final

import msgspec
from expression import Result

from savoryrudder.jobs.model import Configuration
from savoryrudder.jobs.model import Queue
from savoryrudder.utils.checked import Natural
from savoryrudder.utils.checked import decode

CONFIGURATION_KEY: Final = 'op/config'


_MAX_STRETCH: Final = 1000


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


_decoder: Final = msgspec.json.Decoder(_ConfigurationBody, strict=False)


def decode_configuration(content: str) -> Result[Configuration, str]:
    """Decode a configuration; an error says what is invalid."""
    return decode(_decoder, content).map(_convert)


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
