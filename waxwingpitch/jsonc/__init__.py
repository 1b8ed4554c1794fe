"""Reading and writing of JSON with comments, checked into data classes."""

from __future__ import annotations

from .reader import decode, read_file
from .writer import Comment, render

__all__ = ["Comment", "decode", "read_file", "render"]
