"""Simulate followers in virtual time, and count their calls and messages."""

import heapq
import itertools
from collections import Counter, defaultdict

from amaranthferry.codec import encode
from amaranthferry.effects import SendToHost
from amaranthferry.events import PeerReceived, Ticked
from amaranthferry.follower_events import (
    ChunkRead,
    ChunkReadFailed,
    PeersSeen,
    PutInForce,
    ReadChunk,
    ReadRoot,
    RejectRoot,
    RootRead,
    RootReadFailed,
    WatchRoot,
)
from amaranthferry.follower_reducer import reduce
from amaranthferry.follower_state import Follower
from amaranthferry.root import ROOT_KEY

LATENCY = 0.001
TICK_INTERVAL = 0.5


class Fleet:
    """Simulation that handles events in order of virtual time, in seconds."""

    def __init__(self, store, hosts):
        self.store = store
        self.now = 0.0
        self.queue = []
        self.sequence = itertools.count()
        self.followers = {}
        self.calls = Counter()
        self.messages = Counter()
        self.bytes = Counter()
        self.partners = defaultdict(set)
        self.applied = {}
        self.rejected = []
        self.outage = False
        self.isolated = set()
        self.paused = {}
        self.open_watches = {}
        for number in range(hosts):
            self._add(f"h{number:03d}")
        self._schedule_peer_updates()

    def start(self, name):
        self._add(name)
        self._schedule_peer_updates()

    def _add(self, name):
        self.followers[name] = Follower(name, now=self.now, expects_peers=True)
        self.applied[name] = []
        self.open_watches.pop(name, None)
        self.schedule(
            self.now + TICK_INTERVAL * (len(self.followers) % 10) / 10, self._tick, name
        )

    def _schedule_peer_updates(self):
        for host in self.followers:
            self.schedule(self.now + 0.1, self._update_peers, host)

    def schedule(self, when, action, *args):
        heapq.heappush(self.queue, (when, next(self.sequence), action, args))

    def run(self, seconds):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action, args = heapq.heappop(self.queue)
            action(*args)
        self.now = end

    def notify_root_changed(self):
        for name, effect in tuple(self.open_watches.items()):
            if self._is_reachable(name) and self._has_newer_root(effect):
                self._answer_watch(name, effect, self.now)

    def versions(self):
        return {f.version for f in self.followers.values()}

    def current_hosts(self):
        return {n for n, f in self.followers.items() if f.is_current(self.now)}

    def _is_reachable(self, name):
        return not self.outage and name not in self.isolated

    def _has_newer_root(self, effect):
        stored = self.store.objects.get(ROOT_KEY)
        return stored is not None and stored.version > effect.since

    def _tick(self, name):
        self.schedule(self.now + TICK_INTERVAL, self._tick, name)
        self.handle(name, Ticked(now=self.now))

    def _update_peers(self, name):
        self.handle(
            name, PeersSeen(now=self.now, versions=dict.fromkeys(self.followers, 0))
        )

    def handle(self, name, event):
        if name not in self.followers:
            return
        until = self.paused.get(name, 0.0)
        if self.now < until:
            self.schedule(until, self._handle_late, name, event)
            return
        for effect in reduce(self.followers[name], event):
            self._perform(name, effect)

    def _handle_late(self, name, event):
        fields = {f: getattr(event, f) for f in event.__struct_fields__}
        self.handle(name, type(event)(**{**fields, "now": self.now}))

    def _perform(self, name, effect):
        match effect:
            case SendToHost(host=host, message=message):
                self._send(name, host, message)
            case PutInForce(root=root):
                self.applied[name].append((self.now, root.version))
            case RejectRoot():
                self.rejected.append((name, effect))
            case ReadRoot():
                self._read_root(name)
            case WatchRoot():
                self._watch(name, effect)
            case ReadChunk():
                self._read_chunk(name, effect)

    def _send(self, name, host, message):
        self.messages[name] += 1
        self.partners[name].add(host)
        self.bytes[name] += len(encode(message))
        if name in self.isolated or host in self.isolated:
            return
        event = PeerReceived(now=self.now + LATENCY, sender=name, message=message)
        self.schedule(self.now + LATENCY, self.handle, host, event)

    def _read_root(self, name):
        self.calls["get"] += 1
        later = self.now + LATENCY
        if not self._is_reachable(name):
            self.schedule(later, self.handle, name, RootReadFailed(now=later))
            return
        stored = self.store.objects.get(ROOT_KEY)
        event = RootRead(
            now=later,
            requested_at=self.now,
            value=stored.value if stored else None,
            revision=stored.version if stored else 0,
        )
        self.schedule(later, self.handle, name, event)

    def _watch(self, name, effect):
        self.calls["watch"] += 1
        if not self._is_reachable(name):
            later = self.now + LATENCY
            self.schedule(later, self.handle, name, RootReadFailed(now=later))
            return
        self.open_watches[name] = effect
        if self._has_newer_root(effect):
            self._answer_watch(name, effect, self.now)
        else:
            end = self.now + effect.timeout
            self.schedule(end, self._answer_watch, name, effect, self.now)

    def _answer_watch(self, name, effect, requested_at):
        if self.open_watches.get(name) is not effect:
            return
        del self.open_watches[name]
        later = self.now + LATENCY
        if not self._is_reachable(name):
            self.schedule(later, self.handle, name, RootReadFailed(now=later))
            return
        stored = self.store.objects[ROOT_KEY] if self._has_newer_root(effect) else None
        event = RootRead(
            now=later,
            requested_at=requested_at,
            value=stored.value if stored else None,
            revision=stored.version if stored else 0,
        )
        self.schedule(later, self.handle, name, event)

    def _read_chunk(self, name, effect):
        self.calls["get"] += 1
        later = self.now + LATENCY
        if not self._is_reachable(name):
            event = ChunkReadFailed(now=later, digest=effect.digest)
        else:
            stored = self.store.objects.get(effect.key)
            value = stored.value if stored else None
            event = ChunkRead(now=later, digest=effect.digest, value=value)
        self.schedule(later, self.handle, name, event)
