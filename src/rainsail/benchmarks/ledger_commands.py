"""Jobs, items and results of the benches: common words, made once and reused."""

from functools import cache

from rainsail.state.commands import AddItems, ItemBody, JobSpec, OpenJob

PROMPT_CHARACTERS = 200
RESULT_CHARACTERS = 200
"""Not measured; the sizes to which the ledger's figures on docs/CAPACITY.md refer."""
SERVICE = "reports"
DEADLINE_UNIX_S = 1_800_000_000.0
DIFFERENT_TEXTS = 1_000
VOCABULARY = (
    "reefer voyage alarm summary container position seal broker manifest linen pickup "
    "shortage contract clause hotel van dispatch dock scan delivery customs exporter"
)
WORDS_PER_TEXT = 40
MAX_OUTPUT_TOKENS = 128


@cache
def texts(characters: int) -> list[str]:
    """Return different texts of about this length."""
    words = VOCABULARY.split()
    return [_text(seed, words)[:characters] for seed in range(DIFFERENT_TEXTS)]


def _text(seed: int, words: list[str]) -> str:
    chosen = (words[(seed * 7 + place**2) % len(words)] for place in range(WORDS_PER_TEXT))
    return f"{seed} {' '.join(chosen)}"


def item_body(index: int) -> ItemBody:
    """Return an item's body."""
    prompt = texts(PROMPT_CHARACTERS)[index % DIFFERENT_TEXTS]
    return ItemBody(f"item-{index}", prompt, MAX_OUTPUT_TOKENS)


def answer(index: int) -> str:
    """Return an item's result text."""
    return texts(RESULT_CHARACTERS)[index % DIFFERENT_TEXTS]


def open_job(job_id: str, items: int, tenant: str = "north") -> OpenJob:
    """Return the command that opens a job."""
    return OpenJob(job_id, JobSpec(job_id, tenant, SERVICE, items, "digest", DEADLINE_UNIX_S))


def add_range(job_id: str, first: int, end: int) -> AddItems:
    """Return the command that adds the items from ``first`` up to but not including ``end``."""
    return AddItems(job_id, first, tuple(item_body(index) for index in range(first, end)))


def add_ranges(job_id: str, items: int, range_items: int) -> list[AddItems]:
    """Return the commands that fill a job."""
    return [
        add_range(job_id, first, min(items, first + range_items))
        for first in range(0, items, range_items)
    ]
