"""Continuous batching and the prefix cache of the engine stand-in."""

import collections
import dataclasses
import hashlib

BLOCK_CHARS = 32
MAX_CACHE_EVENTS = 10_000


def token(content_digest, prompt, position):
    """Return the token that a model generates at a position.

    It depends on the weights, so that a response of mixed weights is recognisable.

    :param content_digest: digest of the weights in use.
    :param prompt: text.
    :param position: 0 for the first token.
    :returns: text.
    """
    data = f"{content_digest}\x00{prompt}\x00{position}".encode()
    return hashlib.blake2b(data, digest_size=3).hexdigest()


@dataclasses.dataclass
class Sequence:
    """A completion that is generated.

    :param attempt: identifier given by the caller.
    :param prompt: text.
    :param position: next token to generate.
    :param total: position after the last token.
    :param priority: 0 is the most urgent.
    :param model: the loaded weights that generate it to its end.
    :param on_token: called with position and token.
    :param on_end: called with the outcome: ``done``, ``cancelled`` or ``crashed``.
    :param ready_s: time at which the prompt has been processed.
    """

    attempt: str
    prompt: str
    position: int
    total: int
    priority: int
    model: object
    on_token: object
    on_end: object
    ready_s: float = 0.0


class PrefixCache:
    """Blocks of prompts in limited memory; the least recently used one goes first.

    :param blocks: number of blocks that fit.
    """

    def __init__(self, blocks):
        self.capacity = blocks
        self.events = collections.deque(maxlen=MAX_CACHE_EVENTS)
        self._blocks = collections.OrderedDict()
        self._sequence = 0

    def __len__(self):
        return len(self._blocks)

    def use(self, content_digest, prompt, now_s):
        """Look a prompt up and keep all of its blocks.

        :param content_digest: digest of the weights.
        :param prompt: text.
        :param now_s: time of the events.
        :returns: ``(blocks found, blocks in total)``.
        """
        hashes = block_hashes(content_digest, prompt)
        found = 0
        while found < len(hashes) and hashes[found] in self._blocks:
            found += 1
        for block in hashes:
            if block not in self._blocks:
                self._event("stored", block, now_s)
            self._blocks[block] = True
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.capacity:
            block, _ = self._blocks.popitem(last=False)
            self._event("removed", block, now_s)
        return found, len(hashes)

    def held_blocks(self):
        """Return the set of hashes of the blocks that are held."""
        return set(self._blocks)

    def clear(self):
        """Forget all blocks."""
        self._blocks.clear()

    def _event(self, kind, block, now_s):
        self._sequence += 1
        self.events.append(
            {"sequence": self._sequence, "kind": kind, "block": block, "time_s": now_s}
        )


def block_hashes(content_digest, prompt):
    """Return the hash of each prefix of a prompt that is a multiple of a block.

    :param content_digest: digest of the weights.
    :param prompt: text.
    :returns: list of hex texts.
    """
    running = hashlib.blake2b(content_digest.encode(), digest_size=8)
    hashes = []
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        running.update(prompt[start : start + BLOCK_CHARS].encode())
        hashes.append(running.hexdigest())
    return hashes


class Batch:
    """Sequences that share the engine's steps; each step makes one token for each.

    :param slots: sequences that run at once.
    :param max_waiting: sequences that may wait.
    :param cache: :class:`PrefixCache`.
    :param prefill_block_s: time to process a block that is not in the cache.
    """

    def __init__(self, slots, max_waiting, cache, prefill_block_s):
        self.slots = slots
        self.max_waiting = max_waiting
        self.cache = cache
        self.prefill_block_s = prefill_block_s
        self.running = []
        self.waiting = []
        self.blocks_found = 0
        self.blocks_total = 0

    def add(self, sequence):
        """Queue a sequence.

        :returns: False when the queue is full.
        """
        if len(self.waiting) >= self.max_waiting:
            return False
        self.waiting.append(sequence)
        return True

    def remove(self, attempt, outcome):
        """End a sequence before its last token.

        :param attempt: identifier of the sequence, or None for all.
        :param outcome: ``cancelled`` or ``crashed``.
        :returns: number of sequences ended.
        """
        ended = [s for s in self.running + self.waiting if attempt in (None, s.attempt)]
        for sequence in ended:
            queue = self.running if sequence in self.running else self.waiting
            queue.remove(sequence)
            sequence.on_end(outcome)
        return len(ended)

    def find(self, attempt):
        """Return the sequence of an attempt, or None."""
        everything = self.running + self.waiting
        return next((s for s in everything if s.attempt == attempt), None)

    def step(self, now_s):
        """Admit waiting sequences by priority and make one token for each running one.

        :param now_s: current time.
        """
        self.waiting.sort(key=lambda sequence: sequence.priority)
        while self.waiting and len(self.running) < self.slots:
            self._admit(self.waiting.pop(0), now_s)
        for sequence in list(self.running):
            # A callback may have removed the sequence meanwhile.
            if sequence in self.running and sequence.ready_s <= now_s:
                self._generate(sequence)

    def _admit(self, sequence, now_s):
        digest = sequence.model.content_digest
        found, total = self.cache.use(digest, sequence.prompt, now_s)
        self.blocks_found += found
        self.blocks_total += total
        sequence.ready_s = now_s + (total - found) * self.prefill_block_s
        self.running.append(sequence)

    def _generate(self, sequence):
        if sequence.position < sequence.total:
            digest = sequence.model.content_digest
            text = token(digest, sequence.prompt, sequence.position)
            sequence.on_token(sequence.position, text)
            sequence.position += 1
        if sequence.position >= sequence.total and sequence in self.running:
            self.running.remove(sequence)
            sequence.on_end("done")
