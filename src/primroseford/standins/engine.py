"""Stand-in for a model engine.

It simulates continuous batching, streams that can be resumed, and load reports.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING

from primroseford.standins.engine_state import EngineFaults
from primroseford.standins.engine_state import EngineSettings
from primroseford.standins.engine_state import EngineState
from primroseford.standins.engine_state import Generation

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp import web

PREFIX_CHARACTERS = 64
MAX_GENERATIONS = 10_000
MAX_RECORDED_HEADERS = 1_000
REPORT_HISTORY_SECONDS = 10.0
DROPPED_CACHE_EVENT_INTERVAL = 7
"""Every seventh cache event is dropped, because real engines' events have gaps."""
HOLD_POLL_SECONDS = 0.005


class EngineStandIn:
    """A model engine without priorities that admits every request.

    :param settings: speed and capacity
    :param faults: faults that tests and the demo set
    """

    def __init__(self, settings: EngineSettings, faults: EngineFaults) -> None:
        self.settings = settings
        self.faults = faults
        self.state = EngineState()
        self.slots = asyncio.Semaphore(settings.capacity)

    def record_load(self) -> None:
        """Record the current load for delayed load reports."""
        now = time.monotonic()
        state = self.state
        state.reports.append((now, state.running, state.waiting))
        while state.reports[0][0] < now - REPORT_HISTORY_SECONDS:
            state.reports.pop(0)

    def delayed_load(self) -> tuple[float, int, int]:
        """Return (measured at, running, waiting) from before the report lag."""
        limit = time.monotonic() - self.settings.report_lag_seconds
        old = [report for report in self.state.reports if report[0] <= limit]
        return old[-1] if old else (limit, 0, 0)

    def touch_prefix(self, prefix: str) -> bool:
        """Add a prompt prefix to the LRU cache; return whether it was cached before."""
        cache = self.state.prefixes
        hit = prefix in cache
        cache[prefix] = None
        cache.move_to_end(prefix)
        if not hit:
            self.publish("stored", prefix)
        if len(cache) > self.settings.cached_prefixes:
            self.publish("removed", cache.popitem(last=False)[0])
        return hit

    def publish(self, event: str, prefix: str) -> None:
        """Append an event to the log of cache events."""
        events = self.state.cache_events
        events.append({"seq": len(events), "event": event, "prefix": prefix})

    async def generate(self, request_id: str, prompt: str, max_tokens: int):
        """Yield (index, token); the rate depends on the current batch size."""
        state, settings = self.state, self.settings
        generation = Generation([], max_tokens)
        state.generations[request_id] = generation
        if len(state.generations) > MAX_GENERATIONS:
            state.generations.popitem(last=False)
        state.run_counts[request_id] += 1
        async with self.occupy_slot():
            cached = self.touch_prefix(prompt[:PREFIX_CHARACTERS])
            await asyncio.sleep(settings.prefill_seconds * (0.2 if cached else 1))
            async for token in self.produce(generation, 0):
                yield token

    async def produce(
        self, generation: Generation, start: int
    ) -> AsyncIterator[tuple[int, str]]:
        """Yield tokens from an offset on; generate those that do not exist yet."""
        for index in range(start, generation.limit):
            if generation.cancelled:
                return
            while 0 <= self.faults.hold_at_token <= index:  # noqa: ASYNC110
                await asyncio.sleep(HOLD_POLL_SECONDS)
            if index >= len(generation.tokens):
                busy = max(0, self.state.running - 1)
                pace = self.settings.token_seconds
                await asyncio.sleep(pace * (1 + self.settings.slowdown * busy))
                # A resumed stream can run concurrently with the interrupted one,
                # which may have generated the token during the wait.
                if index >= len(generation.tokens):
                    generation.tokens.append(f"t{index} ")
            yield index, generation.tokens[index]

    def occupy_slot(self) -> Slot:
        """Return a context manager that waits for a slot in the running batch."""
        return Slot(self)


class Slot:
    """A slot in the running batch, occupied while the context is open."""

    def __init__(self, engine: EngineStandIn) -> None:
        self.engine = engine

    async def __aenter__(self) -> None:
        state = self.engine.state
        state.waiting += 1
        self.engine.record_load()
        try:
            await self.engine.slots.acquire()
        finally:
            state.waiting -= 1
        state.running += 1
        state.max_running = max(state.max_running, state.running)
        self.engine.record_load()

    async def __aexit__(self, *_: object) -> None:
        self.engine.state.running -= 1
        self.engine.slots.release()
        self.engine.record_load()


def create_engine_stand_in(settings: EngineSettings | None = None) -> EngineStandIn:
    """Return an idle engine without faults.

    :param settings: speed and capacity; the defaults suit tests
    """
    return EngineStandIn(settings or EngineSettings(), EngineFaults())


def prompt_text(body: dict) -> str:
    """Return the prompt of a chat, completion or embedding request as one text."""
    if "messages" in body:
        return "\n".join(str(part.get("content", "")) for part in body["messages"])
    return str(body.get("prompt", body.get("input", "")))


def cache_events_since(engine: EngineStandIn, since: int) -> list[dict]:
    """Return cache events from a sequence number on, without the dropped ones."""
    return [
        event
        for event in engine.state.cache_events[since:]
        if event["seq"] % DROPPED_CACHE_EVENT_INTERVAL
    ]


def encode_event(index: int, body: dict) -> bytes:
    """Encode one server-sent event.

    :param index: event id, from which a client resumes
    :param body: data of the event
    """
    return f"id: {index}\ndata: {json.dumps(body)}\n\n".encode()


def record_headers(engine: EngineStandIn, request: web.Request) -> None:
    """Record the headers of a request for assertions in tests."""
    headers = engine.state.seen_headers
    headers.append({**request.headers, ":path": request.path_qs})
    del headers[:-MAX_RECORDED_HEADERS]


def read_counters(engine: EngineStandIn) -> dict[str, object]:
    """Return the counters of an engine."""
    state = engine.state
    return {
        "running": state.running,
        "waiting": state.waiting,
        "max_running": state.max_running,
        "requests": state.run_counts.total(),
        "runs": dict(state.run_counts),
        "cancelled": sum(g.cancelled for g in state.generations.values()),
        "orders": state.orders,
        "refused_orders": state.refused_orders,
        "loading": state.loading,
        "fencing": state.fencing,
    }
