"""Assembly of one answer from pieces that may be late, doubled or reordered."""

from __future__ import annotations

from ..ports import Piece

MAX_HELD_PIECES = 1024


class AnswerAssembly:
    """Collects the tokens of one answer in order, each once.

    Pieces of another request, or of an attempt that has been given up, are
    dropped. A piece that arrives before its turn is held.

    Parameters
    ----------
    request
        Id of the request.

    Attributes
    ----------
    target
        Id of the target of the current attempt.

    Examples
    --------
    >>> assembly = AnswerAssembly("r")
    >>> assembly.start_attempt()
    1
    >>> assembly.accept(Piece("r", 1, 1, ("b",), "stop"))
    ()
    >>> assembly.accept(Piece("r", 1, 0, ("a",)))
    ('a', 'b')
    >>> assembly.finish
    'stop'
    """

    def __init__(self, request: str):
        self.request = request
        self.attempt = 0
        self.target = ""
        self.tokens: list[str] = []
        self.finish = ""
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self._held: dict[int, Piece] = {}
        self._end: Piece | None = None

    @property
    def next_offset(self) -> int:
        """Index of the first token that is missing."""
        return len(self.tokens)

    def start_attempt(self, target: str = "") -> int:
        """Give up the attempt so far and return the number of the next one."""
        self.attempt += 1
        self.target = target
        self._held.clear()
        self._end = None
        return self.attempt

    def accept(self, piece: Piece) -> tuple[str, ...]:
        """Take in a piece and return the tokens that are now in order."""
        if self.finish or not self._is_mine(piece):
            return ()
        if piece.offset == len(self.tokens) and not self._held and self._end is None:
            return self._append(piece)
        if len(self._held) < MAX_HELD_PIECES:
            self._held[piece.offset] = piece
        if piece.finish:
            self._end = piece
        start = self.next_offset
        self._take_held()
        self._note_finish()
        return tuple(self.tokens[start:])

    def _append(self, piece: Piece) -> tuple[str, ...]:
        """Take in a piece whose turn it is, which is the ordinary case."""
        self.tokens.extend(piece.tokens)
        if piece.finish:
            self._end = piece
            self._note_finish()
        return piece.tokens

    def _is_mine(self, piece: Piece) -> bool:
        return piece.request == self.request and piece.attempt == self.attempt

    def _take_held(self) -> None:
        for offset in sorted(self._held):
            piece = self._held[offset]
            if offset > self.next_offset:
                return
            self.tokens.extend(piece.tokens[self.next_offset - offset :])
            del self._held[offset]

    def _note_finish(self) -> None:
        end = self._end
        if end is None or self.next_offset < end.offset + len(end.tokens):
            return
        self.finish = end.finish
        self.prompt_tokens = end.prompt_tokens
        self.cached_tokens = end.cached_tokens
