"""How many batch tokens could have been generated beside the online work: the physical limit.

An engine generates most when every iteration holds as many sequences as fit. Its time then goes
into full iterations and into prefill. What online work takes is fixed: its generated tokens and
its prefill as the run without batch had them. A batch token also costs its share of its item's
own prompt (the shared template is cached). Solving for the batch tokens B of R engines over T
seconds with N places, iteration time t(N) and prefill time c per token:

    steps  = (R T - c (P_online + r B)) / t(N)
    B      = N steps - D_online
    =>  B  = (N (R T - c P_online) / t(N) - D_online) / (1 + N c r / t(N))

The first token of an answer comes with its prefill and costs no decoding, so ``t(N)`` charges
only the decoded share. No scheduler can beat this; a real one also pays for places that stand
empty between items, for moments without knowledge and for text that is read twice.
"""

from dataclasses import dataclass

from rainsail.emulator.settings import EngineSettings


@dataclass(frozen=True, slots=True)
class OnlineTokens:
    """What online work took of the language model's engines within the measured window."""

    generated_tokens: int
    prefill_tokens: int


@dataclass(frozen=True, slots=True)
class BatchShape:
    """Mean tokens of an item: its answer, and the part of its prompt that no other has."""

    answer_tokens: float
    own_prompt_tokens: float


def batch_token_bound(
    engine: EngineSettings, runners: int, window_s: float, online: OnlineTokens, item: BatchShape
) -> float:
    """Return the most batch tokens that the engines could have generated in the window."""
    places = engine.max_running
    decoded_share = 1.0 - 1.0 / item.answer_tokens
    step_s = engine.step_base_s + engine.step_per_sequence_s * places * decoded_share
    prefill_s = engine.prefill_token_s
    prefill_per_token = item.own_prompt_tokens / item.answer_tokens
    free_s = runners * window_s - prefill_s * online.prefill_tokens
    tokens = places * free_s / step_s - online.generated_tokens
    return max(0.0, tokens / (1.0 + places * prefill_s * prefill_per_token / step_s))
