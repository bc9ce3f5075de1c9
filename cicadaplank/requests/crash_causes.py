"""Parts of prompts that crash each engine that begins to answer them.

Requests share the parts of their prompts: a system prompt, a document, a conversation.
When one of the parts crashes engines, requests that are otherwise different crash one
engine after the other. The part is found from crashes and from sound answers: it is in
the prompts of every crash, and no answer to a prompt with it is ever written.
"""

import collections
import dataclasses

from cicadaplank.messages import types

# Number of crashes without a sound answer in between after which a part is blocked.
CRASH_LIMIT = 3
# The same for a part with which prompts begin. Most requests share one, so that a wrong
# block costs most there.
FIRST_PART_CRASH_LIMIT = 6
# The same for a part that is known to have been answered, before the crashes or after
# them: it has not crashed each endpoint, and other requests share it.
ANSWERED_PART_CRASH_LIMIT = 6
# Crashes closer to each other count as one: engines of one host or rack go down at the
# same time, and no sound answer can come in between.
SAME_CAUSE_S = 0.03
# Time for which a crash counts against the parts that were part of it.
SUSPICION_S = 120.0
# Time for which a part that was blocked is blocked again by a single crash.
RECIDIVISM_S = 3600.0
# Longest wait before other instances are told of a sound answer, for each of them. One
# that hears of an answer in the meantime says nothing.
HOLD_OFF_PER_INSTANCE_S = 0.002
MAX_HOLD_OFF_S = 1.0
# A block that is told again is extended by no less: messages take some time.
MIN_EXTENSION_S = 1.0
MAX_CRASHES = 64
MAX_PROMPTS = 32
MAX_PARTS = 16
MAX_FORMER = 256
# Limit on the parts that are known to have been answered, the latest ones.
MAX_ANSWERED = 1024
# Longest part that is kept as answered.
MAX_ANSWERED_CHARS = 200


@dataclasses.dataclass(frozen=True)
class Broadcast:
    """Action: send a message to every connected instance.

    :param message: :class:`cicadaplank.messages.types.CrashReport` or
        :class:`cicadaplank.messages.types.SoundPartsReport`.
    """

    message: object


@dataclasses.dataclass
class _Crash:
    """Crash of one run of an endpoint, as all instances have observed it.

    :ivar crashed_s: time of the crash in seconds.
    :ivar begun: parts of the prompts whose answers had begun shortly before.
    :ivar waiting: parts of the prompts that had no answer yet.
    :ivar is_own: whether this instance has observed it.
    """

    crashed_s: float
    begun: set
    waiting: set
    is_own: bool = False

    @property
    def parts(self):
        """Parts of which one has caused the crash."""
        return {part for prompt in self.begun or self.waiting for part in prompt}


class CrashCauses:
    """Crashes, sound answers and blocked parts, as known to one instance.

    :param random: ``random.Random``, which spreads messages of several instances.
    :ivar members: number of instances, this one included.
    :ivar evicted: number of crashes and adopted blocks that were dropped because of
        ``MAX_CRASHES``.
    :ivar answers_dropped: number of answered parts dropped because of ``MAX_ANSWERED``.
    """

    def __init__(self, random):
        self.members = 1
        self.evicted = 0
        self.answers_dropped = 0
        self._random = random
        self._crashes = collections.OrderedDict()
        # Time in seconds of the newest crash by part.
        self._crashed_s = {}
        # Time in seconds of the newest sound answer by part, for parts of crashes.
        self._sound_s = {}
        # Time in seconds at which other instances are to be told of a sound part.
        self._told_at_s = {}
        # Time in seconds at which each blocked part was blocked last.
        self._blocked_s = {}
        self._blocked = {}
        # End of each block in seconds that was found before this instance started.
        self._adopted = {}
        # Time in seconds at which the block of a part ended with a sound answer.
        self._released_s = {}
        # Time in seconds of the latest own answer by part, in the order of the times.
        self._answered_s = collections.OrderedDict()
        self._is_outdated = False

    def __len__(self):
        return len(self._crashes)

    @property
    def answered_parts(self):
        """Number of parts that are known to have been answered."""
        return len(self._answered_s)

    @property
    def blocked(self):
        """Return the blocked parts as a sorted list, for logs and metrics."""
        return sorted(self._blocked)

    def blocked_for_s(self, parts, now_s):
        """Return for how long requests with these parts must not be run.

        :param parts: parts of the prompt that other requests may share.
        :param now_s: current time in seconds.
        :returns: seconds, 0.0 when they may run now.
        """
        if not self._blocked:
            return 0.0
        until_s = max((self._blocked.get(p, now_s) for p in parts), default=now_s)
        return max(0.0, until_s - now_s)

    def blocked_left_s(self, now_s):
        """Return a dict from each blocked part to the seconds for which it is blocked.

        :param now_s: current time in seconds.
        """
        return {p: until_s - now_s for p, until_s in self._blocked.items()}

    @property
    def observed(self):
        """Parts of the crashes that this instance has observed itself."""
        own = (crash for crash in self._crashes.values() if crash.is_own)
        return {part for crash in own for part in crash.parts}

    @property
    def released(self):
        """Parts that were blocked here until they were answered."""
        return self._released_s.keys()

    def adopt(self, left_s, now_s):
        """Block parts whose crashes this instance may not know.

        A sound answer ends such a block like any other one. Parts that were released
        here are not blocked again.

        :param left_s: maps each part to the seconds for which it is blocked.
        :param now_s: current time in seconds.
        """
        for part, each_s in left_s.items():
            until_s = now_s + min(SUSPICION_S, each_s)
            known_s = self._blocked.get(part, now_s)
            if part in self._released_s or until_s <= known_s + MIN_EXTENSION_S:
                continue
            if len(self._adopted) >= MAX_CRASHES:
                self.evicted += 1
                continue
            self._adopted[part] = max(until_s, self._adopted.get(part, until_s))
            crashed_s = until_s - SUSPICION_S
            self._crashed_s[part] = max(crashed_s, self._crashed_s.get(part, crashed_s))
            self._blocked_s[part] = now_s
        # Requests may come before the next tick.
        self._update(now_s)

    def retract(self, parts, age_s, now_s):
        """End blocks that another instance has ended after a sound answer.

        The report of the answer may have been lost. Later crashes count as before.

        :param parts: parts that were blocked.
        :param age_s: most seconds since their answers.
        :param now_s: current time in seconds.
        """
        self.merge_sound(types.SoundPartsReport(dict.fromkeys(parts, age_s)), now_s)

    def record_crash(self, run, begun, waiting, now_s, crashed_s=None):
        """Record a crash that this instance observed.

        :param run: name of the run of the endpoint that has crashed.
        :param begun: prompts, each a tuple of parts, whose answers had begun shortly
            before.
        :param waiting: prompts that had no answer yet.
        :param now_s: current time in seconds.
        :param crashed_s: time of the crash in seconds, None for ``now_s``.
        :returns: tuple of :class:`Broadcast`.
        """
        crashed_s = now_s if crashed_s is None else crashed_s
        begun, waiting = _valid_prompts(begun), _valid_prompts(waiting)
        if not begun and not waiting:
            return ()
        self._add(run, begun, waiting, crashed_s, now_s)
        self._crashes[run].is_own = True
        age_s = now_s - crashed_s
        return (Broadcast(types.CrashReport(run, age_s, begun, waiting)),)

    def merge_crash(self, report, now_s):
        """Record a crash that another instance observed.

        :param report: :class:`cicadaplank.messages.types.CrashReport`.
        :param now_s: current time in seconds.
        """
        begun = _valid_prompts(report.begun)
        waiting = _valid_prompts(report.waiting)
        crashed_s = now_s - max(0.0, report.age_s)
        if begun or waiting:
            self._add(report.run, begun, waiting, crashed_s, now_s)

    def _add(self, run, begun, waiting, crashed_s, now_s):
        crash = self._crashes.get(run)
        if crash is None:
            while len(self._crashes) >= MAX_CRASHES:
                self._crashes.popitem(last=False)
                self.evicted += 1
            crash = self._crashes[run] = _Crash(crashed_s, set(), set())
        for known, prompts in ((crash.begun, begun), (crash.waiting, waiting)):
            room = MAX_PROMPTS - len(known)
            known.update(prompts[:room])
        # In a fixed order, so that a seed of the random numbers repeats a play.
        for part in sorted(crash.parts):
            newest_s = self._crashed_s.get(part, crash.crashed_s)
            self._crashed_s[part] = max(newest_s, crash.crashed_s)
            self._recall_answer(part, crash.crashed_s, now_s)
        self._is_outdated = True

    def _recall_answer(self, part, crashed_s, now_s):
        """Tell other instances of an earlier answer to a part of a crash."""
        answered_s = self._answered_s.get(part, float("-inf"))
        if part not in self._sound_s and crashed_s - answered_s <= SUSPICION_S:
            self._sound_s[part] = answered_s
            self._told_at_s.setdefault(part, self._due_s(now_s))

    def _due_s(self, now_s):
        hold_off_s = min(MAX_HOLD_OFF_S, HOLD_OFF_PER_INSTANCE_S * self.members)
        return now_s + self._random.uniform(0.0, hold_off_s)

    def record_sound(self, parts, now_s):
        """Record a sound answer, or a part of one that shows its prompt to be sound.

        :param parts: parts of the prompt.
        :param now_s: current time in seconds.
        """
        for part in parts[:MAX_PARTS]:
            if len(part) <= MAX_ANSWERED_CHARS:
                self._answered_s[part] = now_s
                self._answered_s.move_to_end(part)
        while len(self._answered_s) > MAX_ANSWERED:
            self._answered_s.popitem(last=False)
            self.answers_dropped += 1
        if not self._crashes and not self._adopted:
            return
        suspects = [p for p in parts if self._is_suspect(p)]
        if not suspects:
            return
        due_s = self._due_s(now_s)
        for part in suspects:
            self._sound_s[part] = now_s
            self._blocked_s.pop(part, None)
            self._told_at_s.setdefault(part, due_s)
        self._is_outdated = True

    def _is_suspect(self, part):
        """Tell whether a part had a crash since its last sound answer."""
        crashed_s = self._crashed_s.get(part, float("-inf"))
        return crashed_s > self._sound_s.get(part, float("-inf"))

    def merge_sound(self, report, now_s):
        """Record sound answers that another instance observed.

        :param report: :class:`cicadaplank.messages.types.SoundPartsReport`.
        :param now_s: current time in seconds.
        """
        for part, age_s in report.ages_s.items():
            if not isinstance(age_s, (int, float)) or not self._is_suspect(part):
                continue
            sound_s = now_s - max(0.0, age_s)
            if sound_s >= self._sound_s.get(part, sound_s):
                self._sound_s[part] = sound_s
                self._told_at_s.pop(part, None)
            if not self._is_suspect(part):
                self._blocked_s.pop(part, None)
            self._is_outdated = True

    def messages_for_new_peer(self, now_s):
        """Return what an instance needs that has just started, as a tuple of messages.

        :param now_s: current time in seconds.
        """
        crashes = tuple(
            types.CrashReport(
                run, now_s - crash.crashed_s, sorted(crash.begun), sorted(crash.waiting)
            )
            for run, crash in self._crashes.items()
        )
        if not crashes:
            return ()
        ages_s = {part: now_s - sound_s for part, sound_s in self._sound_s.items()}
        return (*crashes, types.SoundPartsReport(ages_s))

    def tick(self, now_s):
        """Work out the blocked parts and tell other instances of sound ones.

        Called about every 0.05 s: one crash comes with many reports.

        :param now_s: current time in seconds.
        :returns: tuple of :class:`Broadcast`.
        """
        is_expired = any(until_s <= now_s for until_s in self._blocked.values())
        if self._is_outdated or is_expired:
            self._is_outdated = False
            self._update(now_s)
        due = [p for p, due_s in self._told_at_s.items() if due_s <= now_s]
        if not due:
            return ()
        for part in due:
            del self._told_at_s[part]
        ages_s = {p: now_s - self._sound_s[p] for p in due if p in self._sound_s}
        return (Broadcast(types.SoundPartsReport(ages_s)),) if ages_s else ()

    # Blame.

    def _update(self, now_s):
        """Work out the blocked parts from the crashes and sound answers."""
        self._record_releases(now_s)
        for run, crash in list(self._crashes.items()):
            if crash.crashed_s + SUSPICION_S <= now_s:
                del self._crashes[run]
        for part, until_s in list(self._adopted.items()):
            if until_s <= now_s or not self._is_suspect(part):
                del self._adopted[part]
        suspected = {p for crash in self._crashes.values() for p in crash.parts}
        suspected |= self._adopted.keys()
        for times_s in (self._sound_s, self._crashed_s, self._told_at_s):
            for part in times_s.keys() - suspected:
                del times_s[part]
        for part, at_s in list(self._blocked_s.items()):
            if at_s + RECIDIVISM_S <= now_s:
                del self._blocked_s[part]
        blocked = self._blame()
        for part, until_s in self._adopted.items():
            blocked[part] = max(until_s, blocked.get(part, until_s))
        self._blocked = blocked
        for part in self._blocked:
            self._blocked_s[part] = now_s
        while len(self._blocked_s) > MAX_FORMER:
            del self._blocked_s[min(self._blocked_s, key=self._blocked_s.get)]

    def _record_releases(self, now_s):
        """Record the blocked parts that have been answered."""
        released_s = self._released_s
        for part, at_s in list(released_s.items()):
            if self._is_suspect(part) or at_s + SUSPICION_S <= now_s:
                del released_s[part]
        for part in self._blocked:
            if part in self._sound_s and not self._is_suspect(part):
                released_s[part] = now_s
        while len(released_s) > MAX_FORMER:
            del released_s[min(released_s, key=released_s.get)]

    def _blame(self):
        """Return a dict from each blocked part to the time until which it is.

        The part that explains most crashes is blamed first, and the crashes in which
        it took part count against no other one.
        """
        unexplained = sorted(self._crashes.values(), key=lambda c: c.crashed_s)
        blocked = {}
        while unexplained:
            counted = self._count(unexplained)
            part = self._most_suspect(counted, unexplained)
            if part is None:
                break
            newest_s = max(c.crashed_s for c in unexplained if part in c.parts)
            blocked[part] = newest_s + SUSPICION_S
            unexplained = [c for c in unexplained if part not in c.parts]
        return blocked

    def _count(self, crashes):
        """Return the number of crashes by part since its last sound answer.

        :param crashes: crashes in order of their times.
        """
        counted, last_s = collections.Counter(), {}
        for crash in crashes:
            for part in crash.parts:
                if crash.crashed_s <= self._sound_s.get(part, float("-inf")):
                    continue
                if crash.crashed_s - last_s.get(part, float("-inf")) >= SAME_CAUSE_S:
                    counted[part] += 1
                    last_s[part] = crash.crashed_s
        return counted

    def _most_suspect(self, counted, crashes):
        """Return the part that is to be blocked next, or None.

        It is one that was blocked before, if any, or the one with most crashes. Among
        equals it is the one with most runs of endpoints, those included that ended at
        the same time, then one without any sound answer, then the one that stands
        deepest in its prompts, which fewest requests share.
        """
        found = []
        for part, count in counted.items():
            is_former = part in self._blocked_s
            if count < CRASH_LIMIT and not is_former:
                continue
            depth = max(
                prompt.index(part)
                for crash in crashes
                for prompt in (crash.begun or crash.waiting)
                if part in prompt
            )
            newest_s = max(c.crashed_s for c in crashes if part in c.parts)
            answered_s = self._sound_s.get(part, float("-inf"))
            limit = 0 if is_former or depth else FIRST_PART_CRASH_LIMIT
            if not is_former and newest_s - answered_s <= SUSPICION_S:
                limit = max(limit, ANSWERED_PART_CRASH_LIMIT)
            if count >= limit:
                is_unsound = part not in self._sound_s
                runs = sum(part in crash.parts for crash in crashes)
                found.append((is_former, count, runs, is_unsound, depth, part))
        return max(found)[-1] if found else None


def _valid_prompts(prompts):
    """Return the prompts of a report without values of other types, within bounds."""
    return [
        tuple(prompt[:MAX_PARTS])
        for prompt in prompts[:MAX_PROMPTS]
        if isinstance(prompt, (list, tuple))
        and prompt
        and all(isinstance(part, str) for part in prompt)
    ]
