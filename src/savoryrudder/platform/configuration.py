"""Decode the operators' configuration from the store."""

from __future__ import annotations

from types import MappingProxyType
from typing import Final

import msgspec
from expression import Error
from expression import Ok
from expression import Result

from savoryrudder.jobs.model import Configuration
from savoryrudder.jobs.model import Queue

CONFIGURATION_KEY: Final = 'op/config'


class _RouteBody(msgspec.Struct):
    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    target_duration_ms: int = 0


class _ConfigurationBody(msgspec.Struct):
    version: int
    # The platform calls a queue a route.
    routes: list[_RouteBody]


_decoder: Final = msgspec.json.Decoder(_ConfigurationBody, strict=False)


def decode_configuration(content: str) -> Result[Configuration, str]:
    """Decode a configuration; an error says what is invalid."""
    try:
        body = _decoder.decode(content)
    except msgspec.MsgspecError as error:
        return Error(str(error))
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
    return Ok(Configuration(body.version, MappingProxyType(queues)))
