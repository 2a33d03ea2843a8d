"""Define the options that commands share."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

# Keys are sent in a header and in a path. An empty key requests a new one.
Key = Annotated[str, Field(pattern='^[!-~]{0,128}$')]


class Options(BaseModel):
    """Define the arguments of a command; required ones may be positional."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    as_json: bool = Field(
        default=False,
        alias='json',
        description='write the output as JSON',
    )


class EntryOptions(Options):
    """Define the arguments of a command that calls an entry."""

    entry: str = Field(
        default='',
        description='base URLs of entries, separated by commas',
    )
