"""Define the options that commands share."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

# Keys travel in a header and a path; an empty one asks for a new key.
Key = Annotated[str, Field(pattern='^[!-~]{0,128}$')]


class Options(BaseModel):
    """Hold the arguments of a command; required ones may be positional."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    as_json: bool = Field(
        default=False,
        alias='json',
        description='write the answer as JSON',
    )


class EntryOptions(Options):
    """Hold the arguments of a command that calls an entry."""

    entry: str = Field(
        default='',
        description='base URLs of entries, separated by commas',
    )
