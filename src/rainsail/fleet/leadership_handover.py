"""Leadership handover before the planned stop of a group member."""

from rainsail.consensus.driver import GroupDriver
from rainsail.runtime.clock import Clock, sleep

HAND_OVER_WITHIN_S = 1.5
POLL_S = 0.05


async def hand_over(driver: GroupDriver, clock: Clock) -> None:
    """Transfer leadership and wait until that is done or ``HAND_OVER_WITHIN_S`` has passed."""
    if not driver.is_leader():
        return
    driver.transfer_leadership()
    deadline_s = clock.seconds() + HAND_OVER_WITHIN_S
    while driver.is_leader() and clock.seconds() < deadline_s:
        await sleep(clock, POLL_S)
