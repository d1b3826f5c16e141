"""State of the model engine stand-in: running requests, faults and counters."""

from __future__ import annotations

from collections import Counter
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field


@dataclass
class EngineSettings:
    """Speed and size of the engine.

    :param token_seconds: time between tokens when one request runs
    :param slowdown: growth of the token time with each further request that runs
    :param prefill_seconds: time to the first token without a cached prefix
    :param capacity: requests that run together; more wait
    :param report_lag_seconds: age of a load report
    :param cached_prefixes: number of prompt prefixes that the cache holds
    :param checks_fencing: refuse orders with an old fencing number
    :param load_seconds: time from a load order to the model being served
    :param models: names of the models that are loaded
    """

    token_seconds: float = 0.002
    slowdown: float = 0.1
    prefill_seconds: float = 0.005
    capacity: int = 16
    report_lag_seconds: float = 0.5
    cached_prefixes: int = 64
    checks_fencing: bool = True
    load_seconds: float = 0.0
    models: list[str] = field(default_factory=lambda: ["van-round"])


@dataclass
class EngineFaults:
    """Faults that can be switched on while the engine serves.

    :param refuse_status: answer new requests with this status; 0 is off
    :param hang: accept requests and never answer
    :param answer_delay_seconds: wait before the answer's first byte
    :param cut_after_tokens: cut the connection after this many tokens; -1 is off
    :param die_before_answer: cut the connection after the request was read
    :param wrong_request_id: answer with another request's id
    :param omit_end_mark: end streams without the end mark
    :param deadly_text: cut the connection for prompts that contain this text
    :param lose_order_answers: number of coming orders that are carried out and
        whose answers are lost
    :param hang_orders: carry orders out and never answer
    :param leaving: report that the engine is leaving
    :param hold_at_token: stop before this token until the fault ends; -1 is off
    """

    refuse_status: int = 0
    hang: bool = False
    answer_delay_seconds: float = 0.0
    cut_after_tokens: int = -1
    die_before_answer: bool = False
    wrong_request_id: bool = False
    omit_end_mark: bool = False
    deadly_text: str = ""
    lose_order_answers: int = 0
    hang_orders: bool = False
    leaving: bool = False
    hold_at_token: int = -1


@dataclass
class Generation:
    """One request's output.

    :param tokens: tokens produced so far
    :param limit: number of tokens to produce
    :param cancelled: no more tokens are produced
    """

    tokens: list[str]
    limit: int
    cancelled: bool = False


@dataclass
class EngineState:
    """Everything the engine remembers."""

    running: int = 0
    waiting: int = 0
    leaving: bool = False
    reports: list[tuple[float, int, int]] = field(default_factory=list)
    prefixes: OrderedDict[str, None] = field(default_factory=OrderedDict)
    cache_events: list[dict] = field(default_factory=list)
    generations: OrderedDict[str, Generation] = field(default_factory=OrderedDict)
    run_counts: Counter[str] = field(default_factory=Counter)
    seen_headers: list[dict[str, str]] = field(default_factory=list)
    fencing: int = 0
    orders: list[dict] = field(default_factory=list)
    refused_orders: int = 0
    loading: int = 0
    max_running: int = 0
