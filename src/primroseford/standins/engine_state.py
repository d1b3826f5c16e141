"""State of the stand-in for a model engine: settings, faults and counters."""

from __future__ import annotations

from collections import Counter
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field


@dataclass
class EngineSettings:
    """Speed and capacity of the engine.

    :param token_seconds: time per token while a single request runs
    :param slowdown: relative increase of the time per token for each further running
        request
    :param prefill_seconds: time to the first token without a cached prefix
    :param capacity: maximum number of concurrent requests; further requests wait
    :param report_lag_seconds: age of the load in a load report
    :param cached_prefixes: capacity of the prefix cache, in prompt prefixes
    :param checks_fencing: reject orders with a fencing number below the highest one
    :param load_seconds: time from a load order until the model is served
    :param models: names of the loaded models
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
    """Faults that can be set while the engine serves requests.

    :param refuse_status: reject new requests with this status; 0 disables the fault
    :param hang: accept requests and never respond
    :param answer_delay_seconds: delay before the first byte of a response
    :param cut_after_tokens: abort the connection after this many tokens; -1 disables
        the fault
    :param cuts: number of next streams to which ``cut_after_tokens`` applies
    :param die_before_answer: abort the connection after reading the request
    :param wrong_request_id: send the id of another request in responses
    :param omit_end_mark: end streams without ``data: [DONE]``
    :param deadly_text: abort the connection for prompts that contain this text
    :param lose_order_answers: number of next orders that are executed and whose
        connection is aborted instead of a response
    :param hang_orders: execute orders and never respond
    :param leaving: report in load reports that the engine is shutting down
    :param hold_at_token: stop generation before this token while the fault is set; -1
        disables the fault
    """

    refuse_status: int = 0
    hang: bool = False
    answer_delay_seconds: float = 0.0
    cut_after_tokens: int = -1
    cuts: int = 1_000_000
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
    """Output of one request.

    :param tokens: tokens generated so far
    :param limit: number of tokens to generate
    :param cancelled: whether generation was cancelled
    """

    tokens: list[str]
    limit: int
    cancelled: bool = False


@dataclass
class EngineState:
    """Counters and records of the engine."""

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
