"""Reading and writing of JSON with comments, checked into data classes."""

from __future__ import annotations

from .reader import decode, find_line, read_file
from .writer import Comment, render

__all__ = ["Comment", "decode", "find_line", "read_file", "render"]
